// Package control is a gateway's control plane: it subscribes to the keepers' endpoint state
// reports, asks keepers to load adapters, and reports demand to the planner. The gateway that
// holds the planner lease decides which models are resident on the endpoints.
package control
