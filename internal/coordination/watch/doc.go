// Package watch follows the platform's store: the operators' configuration and the
// registrations of endpoints. It hands out immutable views. A configuration never goes
// back, a store that is away changes nothing, and an endpoint whose registration lapsed
// while the store was away keeps its place until the store has been back for a while.
package watch
