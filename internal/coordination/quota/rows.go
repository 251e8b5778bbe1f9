package quota

import (
	"encoding/json"
	"fmt"
	"strings"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

const (
	entryPrefix = "quota/e/"
	heldSuffix  = "/held"
	grantSuffix = "/grant"
)

// Part is a part of each of a group's limits, or the limits themselves: concurrent requests,
// requests a second and tokens a second.
type Part struct {
	Concurrent float64 `json:"concurrent,omitempty"`
	Requests   float64 `json:"requests,omitempty"`
	Tokens     float64 `json:"tokens,omitempty"`
}

// Limits returns the hard limits of a group, which entries share; 0 means no limit.
func Limits(g table.Group) Part {
	return Part{Concurrent: float64(g.MaxConcurrent), Requests: g.MaxRequestsPerSecond, Tokens: g.MaxTokensPerSecond}
}

// held is the row in which an entry reports the parts that it may use, and its demand.
type held struct {
	Seq        uint64          `json:"seq"`
	TermMillis int64           `json:"term_ms"`
	Parts      map[string]Part `json:"parts"`
	Demand     map[string]Part `json:"demand"`
	// Limits are the limits of which Parts are parts.
	Limits map[string]Part `json:"limits,omitempty"`
	// Over counts, by group, the requests in flight above the part of concurrent requests.
	Over map[string]float64 `json:"over,omitempty"`
}

// grant is the row in which a division gives an entry its next parts.
type grant struct {
	Parts map[string]Part `json:"parts"`
	// Limits are the limits that were divided.
	Limits map[string]Part `json:"limits"`
}

func decode(row store.Row, v any) error {
	if row.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fault.New(fault.Internal, "malformed_quota", fmt.Sprintf("row %q does not decode", row.Key), "delete the row").WithCause(err)
	}
	return nil
}

func putRow(key string, v any) store.Write {
	b, _ := json.Marshal(v) // encoding a held or grant row cannot fail
	return store.Write{Key: key, Value: b}
}

// findRow returns a row of a snapshot; its version is 0 if it is absent.
func findRow(snap store.Snapshot, key string) store.Row {
	for _, r := range snap.Rows {
		if r.Key == key {
			return r
		}
	}
	return store.Row{Key: key}
}

func entryID(key, suffix string) (string, bool) {
	rest, ok := strings.CutPrefix(key, entryPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, suffix)
}
