// Package main holds the stand-ins of the third review: a platform, servers and clients that surround
// the project's own gateways and keepers, which run as processes with the commands of the deploy file.
package main
