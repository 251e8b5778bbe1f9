// Package netsim is an in-memory network with faults. Links can refuse new connections,
// reset open ones, lose, delay and duplicate data, and deliver data after the sender's
// connection broke. It works under testing/synctest: all waiting is on channels and timers,
// and writes never block.
package netsim
