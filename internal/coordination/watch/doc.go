// Package watch follows the platform's store: the operators' configuration and the
// registrations of endpoints. It provides immutable views. The configuration version never
// goes back, an outage of the store leaves the view unchanged, and an endpoint whose
// registration lapsed during an outage stays listed for a grace period after the outage.
package watch
