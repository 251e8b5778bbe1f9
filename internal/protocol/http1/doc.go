// Package http1 is an HTTP/1.1 client for endpoints with a pool of persistent connections.
// It reports for each failure how far the request got, sends a request's target and body
// unchanged, and matches responses to requests by their id, because an endpoint may send
// more than one response. The transport of package net/http doesn't fit: it retries some
// requests by itself and takes the next bytes on a connection for the response.
package http1
