// Package control is a gateway's side of the keepers: it subscribes to their states, asks
// them for adapters, and tells the planner the demand. One gateway, the holder of a lease,
// plans which models the endpoints hold.
package control
