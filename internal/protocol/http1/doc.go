// Package http1 speaks HTTP/1.1 to endpoints over kept connections. It says of each
// failure how far the request got, passes a request's target and body on unchanged, and
// matches answers to requests by their id, because an endpoint may send more than one
// answer. Package net/http's transport does neither: it sends some requests again by
// itself and takes the next bytes on a connection for the answer.
package http1
