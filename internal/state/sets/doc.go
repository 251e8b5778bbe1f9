// Package sets provides a generic set and an optional value.
package sets
