package ident

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// New returns a random 128-bit id in hexadecimal with a prefix.
func New(prefix string) string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24
	return prefix + hex.EncodeToString(b[:])
}

// Fingerprint returns a 128-bit hash in hexadecimal that identifies equal requests of one
// group at all entries.
func Fingerprint(group, model string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(group))
	h.Write([]byte{0})
	h.Write([]byte(model))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// HashKey returns the stored form of a bearer key: its SHA-256 sum in hexadecimal.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}
