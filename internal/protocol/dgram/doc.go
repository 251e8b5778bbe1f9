// Package dgram is the protocol between gateways and keepers: small datagrams that are
// sent again while they matter, so that a lost one needs no recovery and no connection
// can go silent. A gateway asks (a subscription, adapters it needs, a planner's move); a
// keeper answers with the state of its endpoint. Gateways tell the planner
// their demand, and the planner tells them what it read in the store.
package dgram
