// Package clock places times of another process's clock on the local one, never too late, from
// calls that the other process answers with its time.
//
// It is designed for a few calls a second, answers and datagrams that are read at any time after
// they arrived, and local clocks that go on while the process is frozen and the machine suspended.
// Values are immutable and the local time is passed in.
package clock
