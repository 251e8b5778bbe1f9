// Package replica decides which models get another copy and on which endpoint, and which
// make way. It takes one step at a time from what the keepers report, so that nothing
// needs to be remembered between steps but the orders under way. It is pure.
package replica
