// Package dgram is the datagram protocol between gateways and keepers. Small messages are
// sent again while they matter, so that a lost one needs no recovery and there is no
// connection that can stall. A gateway sends a keeper requests (its subscription, wanted
// adapters, a planner's move), and the keeper sends its subscribers endpoint state reports.
// Gateways send the planner their demand, and the planner sends them what it read in the
// store. Gateways ask the planner for credit in the groups' quotas.
package dgram
