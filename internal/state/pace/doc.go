// Package pace divides the rate that an endpoint accepts among the gateways that send to it.
// Gateways don't see each other's requests: each keeps a share of the rate, at a phase of its
// own, and lets most of what it saved lapse when they are many, so that demand that reaches
// all of them at the same moment stays within the limit as well.
package pace
