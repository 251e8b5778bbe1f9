// Package opsapi serves the operators' HTTP API and its web page: the operators' table,
// its edits and history, and the status of the fleet. Every API call needs an operator's
// key. An edit names the row revisions that it is based on, is rejected if one has
// changed, and is applied once however often it is sent with the same id.
package opsapi
