package store

import "strconv"

// counterBits is the number of low bits of a Version that hold the store's counter; the era is
// above them. The remaining bits keep a Version exact in JSON numbers for 8,191 eras.
const counterBits = 40

// Version identifies a state of a store and increases with each change. A store that is
// restored from a copy counts anew from the copy's counter, so the era precedes the counter.
// The zero value precedes all states.
type Version uint64

// NewVersion returns the version of a counter in an era, the number of restores before it.
func NewVersion(era, counter uint64) Version {
	return Version(era<<counterBits | counter&(1<<counterBits-1))
}

// Era returns the number of restores of the store before the version.
func (v Version) Era() uint64 { return uint64(v) >> counterBits }

// Counter returns the store's own counter, which increases within an era only.
func (v Version) Counter() uint64 { return uint64(v) & (1<<counterBits - 1) }

// String returns the era and the counter for logs.
func (v Version) String() string {
	return strconv.FormatUint(v.Era(), 10) + "." + strconv.FormatUint(v.Counter(), 10)
}
