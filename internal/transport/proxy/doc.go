// Package proxy is the gateway's HTTP handler: it buffers a request, chooses an endpoint,
// forwards the request unchanged and relays the response as it arrives. A 429 or 503 of its
// own guarantees that the request has not run and never will; a request that may have run
// and has no response ends with 502, 504 or a broken connection.
package proxy
