// Package edit commits validated edits of the operators' table to the table service. Each
// edit is one transaction on the head row and the rows that it changes, so that a stale edit
// is rejected and an accepted one is never lost. An edit has an id; a repeated edit with the
// same id returns the first result and changes nothing.
package edit
