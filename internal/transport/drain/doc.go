// Package drain ends the connections of an HTTP server that stops, without cutting off requests
// in flight.
package drain
