// Package node assembles the processes of the system from their settings. A process
// runs until its Stop method is called. Entries and agents then complete the requests
// and attempts in flight, however long that takes; a gateway cuts off those that still
// run at the end of its grace period; a keeper stops at once.
package node
