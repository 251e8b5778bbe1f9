package place

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
	"chervilhead/internal/state/share"
	"chervilhead/internal/state/table"
)

// EndpointRow is the description that an agent stores with its lease.
type EndpointRow struct {
	plan.Endpoint
	Usage share.UsageReport `json:"usage"`
}

// ShareDocument is the document that carries the correction factors to agents.
type ShareDocument struct {
	Version uint64        `json:"version"`
	Factors share.Factors `json:"factors"`
}

const (
	shareKey = "share/current"
	// leastChange is the relative change of a factor that is worth a new document.
	leastChange = 0.02
)

// sharer corrects the groups' weights from the agents' reports.
type sharer struct {
	meter *share.UsageMeter
	next  time.Time
}

// correct publishes new factors when the fleet's usage asks for them.
func (p *Planner) correct(ctx context.Context, t table.Table, now time.Time) error {
	if now.Before(p.shares.next) {
		return nil
	}
	p.shares.next = now.Add(share.ReportInterval(len(p.rows.rows)))
	weights := make(map[string]float64, len(t.Groups))
	for _, g := range t.Groups {
		weights[g.Name] = g.Weight
	}
	usages := p.shares.meter.Usages(weights, now)
	row, err := p.st.Get(ctx, shareKey)
	if err != nil {
		return err
	}
	var cur ShareDocument
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &cur); err != nil {
			return fmt.Errorf("decode shares: %w", err)
		}
	}
	next := ShareDocument{Version: cur.Version + 1, Factors: share.NextFactors(cur.Factors, usages)}
	if !moved(cur.Factors, next.Factors) {
		return nil
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode shares: %w", err)
	}
	_, err = p.st.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: shareKey, Version: row.Version}, p.lease.Cond()},
		Writes: []store.Write{{Key: shareKey, Value: data}},
	})
	if err != nil {
		return fmt.Errorf("publish shares: %w", err)
	}
	p.docs.PutIfNewer(gossip.Document{Kind: gossip.KindShare, Version: next.Version, Data: data})
	p.log.WithField("version", next.Version).WithField("factors", next.Factors).Info("share factors published")
	return nil
}

// moved reports whether any factor changed enough to tell the agents.
func moved(a, b share.Factors) bool {
	for g := range a {
		if math.Abs(b.Of(g)/a.Of(g)-1) > leastChange {
			return true
		}
	}
	for g := range b {
		if math.Abs(b.Of(g)/a.Of(g)-1) > leastChange {
			return true
		}
	}
	return false
}

// ShareSource reads the newest factors for the relay.
func ShareSource(st store.TableService) gossip.Source {
	return func(ctx context.Context, have uint64) (gossip.Document, error) {
		row, err := st.Get(ctx, shareKey)
		if err != nil || row.Version == 0 {
			return gossip.Document{}, err
		}
		var s ShareDocument
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return gossip.Document{}, fmt.Errorf("decode shares: %w", err)
		}
		if s.Version <= have {
			return gossip.Document{}, nil
		}
		return gossip.Document{Kind: gossip.KindShare, Version: s.Version, Data: row.Value}, nil
	}
}
