// Package drain ends the connections of an HTTP server that stops, without cutting off requests
// that are on their way.
package drain
