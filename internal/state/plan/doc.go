// Package plan computes the placement plan: which models and adapters are to be resident
// on which endpoints, which replicas may be evicted, and in which order replicas load. It
// also defines the demand that agents report for it.
//
// The plan lets an agent unload a replica only if another one is confirmed resident, its
// model is no longer in the table, it is an adapter without its base, or the model is idle.
// A new replica is placed only where the staging space of the largest load stays free beside
// all models, so that they can load in any order. Planning has no side effects, and equal
// inputs give equal plans.
package plan
