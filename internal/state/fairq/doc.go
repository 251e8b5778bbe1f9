// Package fairq implements a weighted fair queue over groups, with priorities inside each
// group. The group with the least usage for its weight, averaged over a window, is served
// first. Ties are broken by the number of running items and then by start-time fair
// queueing, in which a group that was idle joins at the current virtual time. A group gains
// no credit while it is idle. A Policy can keep a few slots free for groups below their
// share while another group floods the server, and let them use extra slots of the server.
// A Queue is not safe for concurrent use.
package fairq
