// Package share computes share factors: corrections of the agents' scheduling weights that
// give each group its weighted max-min fair share of accelerator time over the whole fleet,
// although each agent schedules for itself and a group may be served at few endpoints.
package share
