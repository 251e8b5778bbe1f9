package place

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
)

// The rows of the plan in force: a head with its version, parts with its endpoints, and
// the rest of it. Every write of any of them also writes the head under its condition.
const (
	planPrefix = "plan/"
	headKey    = planPrefix + "head"
	restKey    = planPrefix + "rest"
	partPrefix = planPrefix + "part/"
)

// planParts is the number of rows that share the endpoints. As a single row, a plan of
// 600 endpoints was about 83 KB for each move; a row for each endpoint would make a plan
// that changes everywhere more writes than the table service takes in a second.
const planParts = 64

// head is the small row that tells which plan is the newest.
type head struct {
	Version uint64 `json:"version"`
}

func encodeHead(version uint64) []byte {
	b, _ := json.Marshal(head{Version: version}) // a number always encodes
	return b
}

func decodeHead(row store.Row) (uint64, error) {
	var h head
	if row.Version == 0 {
		return 0, nil
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return 0, fmt.Errorf("decode head of the plan: %w", err)
	}
	return h.Version, nil
}

// encodeRows returns the rows of a plan but its head, by key.
func encodeRows(p plan.Plan) map[string][]byte {
	parts := map[string]plan.Plan{}
	for _, e := range p.Endpoints {
		h := fnv.New32a()
		_, _ = h.Write([]byte(e.ID)) // a hash takes every write
		key := fmt.Sprintf("%s%02d", partPrefix, h.Sum32()%planParts)
		part := parts[key]
		part.Endpoints = append(part.Endpoints, e)
		parts[key] = part
	}
	p.Version, p.Endpoints = 0, nil
	out := map[string][]byte{restKey: plan.Encode(p)}
	for key, part := range parts {
		out[key] = plan.Encode(part)
	}
	return out
}

// changes returns the writes that turn one plan's rows into another's.
func changes(from, to plan.Plan) []store.Write {
	old, rows := encodeRows(from), encodeRows(to)
	if from.Version == 0 {
		old = nil
	}
	writes := []store.Write{{Key: headKey, Value: encodeHead(to.Version)}}
	for key, value := range rows {
		if !bytes.Equal(old[key], value) {
			writes = append(writes, store.Write{Key: key, Value: value})
		}
	}
	for key := range old {
		if _, ok := rows[key]; !ok {
			writes = append(writes, store.Write{Key: key, Delete: true})
		}
	}
	slices.SortFunc(writes, func(a, b store.Write) int { return cmp.Compare(a.Key, b.Key) })
	return writes
}

// readPlan reads the plan in force and the version of its head row; both are zero
// before the first plan.
func readPlan(ctx context.Context, st store.TableService) (plan.Plan, uint64, error) {
	snap, err := st.Read(ctx, planPrefix)
	if err != nil {
		return plan.Plan{}, 0, err
	}
	var p plan.Plan
	var version, at uint64
	var endpoints []plan.Endpoint
	for _, row := range snap.Rows {
		switch {
		case row.Key == headKey:
			at = row.Version
			version, err = decodeHead(row)
		case row.Key == restKey:
			p, err = plan.Decode(row.Value)
		case strings.HasPrefix(row.Key, partPrefix):
			var part plan.Plan
			part, err = plan.Decode(row.Value)
			endpoints = append(endpoints, part.Endpoints...)
		}
		if err != nil {
			return plan.Plan{}, 0, err
		}
	}
	slices.SortFunc(endpoints, func(a, b plan.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	p.Version, p.Endpoints = version, endpoints
	return p, at, nil
}
