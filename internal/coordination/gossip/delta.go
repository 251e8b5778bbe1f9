package gossip

import (
	"bytes"
	"errors"
	"hash/crc32"
)

const (
	// maxLogSteps is the maximum number of recent deltas kept per kind of document.
	maxLogSteps = 64
	// maxLogBytes is the maximum estimated size of those deltas.
	maxLogBytes = 64 << 10
	// partOverheadBytes is the estimated encoded size of a part without its text.
	partOverheadBytes = 24
)

// errBaseMismatch means that an update does not lead from the held document to the sender's.
var errBaseMismatch = errors.New("deltas do not apply to the held document; fetch the whole document")

// Part is a piece of a new document: a byte range of the old one or, if Length is 0, text.
type Part struct {
	Offset int    `json:"o,omitempty"`
	Length int    `json:"n,omitempty"`
	Text   string `json:"t,omitempty"`
}

// Delta builds a new document from an old one.
type Delta struct {
	To    uint64 `json:"to"`
	Parts []Part `json:"parts"`
}

// Update brings a holder of version Base to Version: by deltas, or by the whole
// document in Data. Both are empty when the sender has nothing newer.
type Update struct {
	Kind    string
	Version uint64
	Base    uint64
	Deltas  []Delta
	Data    []byte
	// Checksum is the checksum of the document at Version.
	Checksum uint32
}

func checksum(data []byte) uint32 { return crc32.ChecksumIEEE(data) }

// chunks splits a JSON document after each closing brace, so that an edit of one row does not change the chunks of others.
func chunks(data []byte) [][]byte {
	return bytes.SplitAfter(data, []byte("}"))
}

// makeDelta returns the parts that build the new document from the old one.
func makeDelta(from, to []byte) []Part {
	at := map[string]int{}
	off := 0
	for _, c := range chunks(from) {
		at[string(c)] = off
		off += len(c)
	}
	var out []Part
	for _, c := range chunks(to) {
		o, known := at[string(c)]
		known = known && len(c) > 0
		last := len(out) - 1
		switch {
		case !known && last >= 0 && out[last].Length == 0:
			out[last].Text += string(c)
		case !known:
			out = append(out, Part{Text: string(c)})
		case last >= 0 && out[last].Length > 0 && out[last].Offset+out[last].Length == o:
			out[last].Length += len(c)
		default:
			out = append(out, Part{Offset: o, Length: len(c)})
		}
	}
	return out
}

// applyDelta builds a new document from an old one; it fails if a part lies outside the old one.
func applyDelta(from []byte, parts []Part) ([]byte, error) {
	var out []byte
	for _, p := range parts {
		if p.Length == 0 {
			out = append(out, p.Text...)
			continue
		}
		if p.Offset < 0 || p.Length < 0 || p.Offset > len(from) || p.Length > len(from)-p.Offset {
			return nil, errBaseMismatch
		}
		out = append(out, from[p.Offset:p.Offset+p.Length]...)
	}
	return out, nil
}

// ApplyTo returns the document at the update's version. It fails if the deltas do not apply to
// the held document or the checksum differs.
func (u Update) ApplyTo(have Document) (Document, error) {
	data := u.Data
	if len(u.Deltas) > 0 {
		if have.Version != u.Base {
			return Document{}, errBaseMismatch
		}
		data = have.Data
		for _, d := range u.Deltas {
			var err error
			if data, err = applyDelta(data, d.Parts); err != nil {
				return Document{}, err
			}
		}
	}
	if checksum(data) != u.Checksum {
		return Document{}, errBaseMismatch
	}
	return Document{Kind: u.Kind, Version: u.Version, Data: data}, nil
}

// logStep is a delta with the version that it applies to and its estimated size in bytes.
type logStep struct {
	Delta
	from uint64
	size int
}

// deltaLog is a gapless sequence of recent deltas up to the held version. It is immutable.
type deltaLog []logStep

// with returns the log after a change from one document version to another; it is empty if the
// delta takes more than half the size of the new document.
func (l deltaLog) with(from, to Document) deltaLog {
	s := logStep{Delta: Delta{To: to.Version, Parts: makeDelta(from.Data, to.Data)}, from: from.Version}
	for _, p := range s.Parts {
		s.size += partOverheadBytes + len(p.Text)
	}
	if s.size > len(to.Data)/2 {
		return nil
	}
	out := append(l[:len(l):len(l)], s)
	total := 0
	for i := len(out) - 1; i >= 0; i-- {
		total += out[i].size
		if total > maxLogBytes || len(out)-i > maxLogSteps {
			return out[i+1:]
		}
	}
	return out
}

// from returns the deltas after a version and their total size, or nil if the log does not contain that version.
func (l deltaLog) from(version uint64) ([]Delta, int) {
	for i, s := range l {
		if s.from != version {
			continue
		}
		out, size := make([]Delta, 0, len(l)-i), 0
		for _, s := range l[i:] {
			out, size = append(out, s.Delta), size+s.size
		}
		return out, size
	}
	return nil, 0
}
