// Package member polls the platform's host list and provides it as an immutable membership
// view. The view lags behind the actual state of the hosts, as the list does.
package member
