// Package pltsim is a stand-in for the platform's table service, object store, weight store
// and host list, as entries and agents use them. Each service can be slow, unavailable or
// lagging, or lose the reply to a write that took effect; such faults are set by call or
// by a schedule.
package pltsim
