// Package admin is a client of the operators' API of chervilhead. The API's error
// replies have types: *StaleError if rows have changed since they were read and
// *Error otherwise. An edit that may have taken effect ends with *UnsettledError.
package admin
