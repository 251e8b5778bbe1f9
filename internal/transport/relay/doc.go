// Package relay passes the operators' configuration from one gateway to another. A gateway that
// the store turns away learns from announcements and reports that another one has a newer
// configuration, and reads it there.
package relay
