// Package ident makes random ids, request fingerprints and the stored hashes of keys.
package ident
