// Package trial is a discrete-event simulation that compares placement, routing, fairness and
// limit policies. The product's own code makes the decisions; a small model of queues,
// loads and the weight store yields their results. It runs in virtual time, without
// network or processes, and with fixed seeds, so that runs can be compared.
package trial
