// Package httpd runs HTTP servers that drain gracefully and serves the health, readiness
// and metrics endpoints of every process.
package httpd
