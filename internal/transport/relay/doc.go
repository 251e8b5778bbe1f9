// Package relay passes the operators' configuration from one process to another. A gateway that
// the store turns away learns from announcements and reports that another one has a newer
// configuration, and reads it there; while the store refuses all gateways, keepers read it for them.
package relay
