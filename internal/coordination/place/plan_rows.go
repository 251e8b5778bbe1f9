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

// Keys of the rows that hold the plan in force. Every transaction that writes one of them also
// writes the head row, on condition that it is unchanged.
const (
	planPrefix = "plan/"
	// headKey is the row with the plan's version.
	headKey = planPrefix + "head"
	// restKey is the row with everything but the version and the endpoints.
	restKey = planPrefix + "rest"
	// partPrefix is the prefix of the rows with the endpoints.
	partPrefix = planPrefix + "part/"
)

// planParts is the number of rows over which the endpoints are spread. As a single row, a plan
// of 600 endpoints took a write of about 83 KB for each move. With one row per endpoint, a plan
// that changes everywhere would take more writes than the table service accepts in a second.
const planParts = 64

// head is the row with the version of the plan in force.
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
		return 0, fmt.Errorf("decode head row of the plan: %w", err)
	}
	return h.Version, nil
}

// encodeRows returns the rows of a plan except its head, by key.
func encodeRows(p plan.Plan) map[string][]byte {
	parts := map[string]plan.Plan{}
	for _, e := range p.Endpoints {
		h := fnv.New32a()
		_, _ = h.Write([]byte(e.ID)) // a hash.Hash never returns an error
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

// rowWrites returns the writes that turn one plan's rows into another's, in key order.
func rowWrites(from, to plan.Plan) []store.Write {
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

// readPlan returns the plan in force and the version of its head row; both are zero before the
// first plan is published.
func readPlan(ctx context.Context, st store.TableService) (plan.Plan, uint64, error) {
	snap, err := st.Read(ctx, planPrefix)
	if err != nil {
		return plan.Plan{}, 0, err
	}
	var p plan.Plan
	var version, headVersion uint64
	var endpoints []plan.Endpoint
	for _, row := range snap.Rows {
		switch {
		case row.Key == headKey:
			headVersion = row.Version
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
	return p, headVersion, nil
}
