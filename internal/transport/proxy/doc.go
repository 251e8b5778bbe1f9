// Package proxy is the gateway's HTTP interface: it reads a request whole, chooses an
// endpoint, passes the request on unchanged and its answer back as it arrives. An answer
// 429 or 503 of its own means that the request has not run and never will; whatever may
// have run and has no answer ends with 502, 504 or a broken connection.
package proxy
