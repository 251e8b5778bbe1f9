// Package guard keeps an HTTP server within its memory and descriptors whatever its clients send or
// leave unread. Its listener accounts for each connection, its handler for each request, and a
// refused client that still sends gets its answer before its connection is closed.
package guard
