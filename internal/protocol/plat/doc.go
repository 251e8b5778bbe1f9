// Package plat adapts the platform's four services (table service, object store, weight
// store, host list) to the interfaces of package store. The services speak HTTP, with JSON
// bodies for rows and hosts; only this package knows that. Calls other than reading
// weights are limited in rate and time, and a service that fails or does not reply gives a
// typed outage error.
package plat
