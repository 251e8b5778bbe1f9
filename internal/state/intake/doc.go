// Package intake accounts for the memory and connections that clients fill at a process. What a
// client may send is counted before it comes and given back when it ends. When the limits are
// reached, clients that hold memory without making progress are shed first.
package intake
