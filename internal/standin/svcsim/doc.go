// Package svcsim is a stand-in plain service behind agents. It records each execution, so
// that tests can check how often a request ran.
package svcsim
