// Package lease implements leases on rows of the table service. At most one holder's lease
// is in force at a time. Each grant has a fencing token higher than all before it. A holder
// checks its lease on its own monotonic clock, and another process takes the lease over only
// after it has seen the row unchanged for the whole term, so that no two clocks are compared.
// With Settings.ImmediateTakeover a lease may have two holders for a while, and the fencing
// token tells them apart.
package lease
