// Package place runs the planner. One entry at a time, under a lease, computes the
// placement plan from the operators' table, the host list and the endpoints' rows. All
// planner state is in the table service, so that a new planner continues where the old one
// ended. A plan is published only under the lease and only if it follows the newest one.
package place
