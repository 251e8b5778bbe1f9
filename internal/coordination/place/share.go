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

// EndpointRow is the description of an endpoint that its agent stores along with its lease.
type EndpointRow struct {
	plan.Endpoint
	Usage share.UsageReport `json:"usage"`
}

// ShareDocument distributes the share factors to agents.
type ShareDocument struct {
	Version uint64        `json:"version"`
	Factors share.Factors `json:"factors"`
}

const (
	shareKey = "share/current"
	// minFactorChange is the relative change of a factor from which a new document is published.
	minFactorChange = 0.02
)

// factorUpdater computes share factors from the agents' usage reports.
type factorUpdater struct {
	meter      *share.UsageMeter
	nextUpdate time.Time
}

// updateFactors publishes new share factors if they differ enough from the current ones.
func (p *Planner) updateFactors(ctx context.Context, t table.Table, now time.Time) error {
	if now.Before(p.factors.nextUpdate) {
		return nil
	}
	p.factors.nextUpdate = now.Add(share.ReportInterval(len(p.rows.rows)))
	weights := make(map[string]float64, len(t.Groups))
	for _, g := range t.Groups {
		weights[g.Name] = g.Weight
	}
	usages := p.factors.meter.Usages(weights, now)
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
	if !factorsChanged(cur.Factors, next.Factors) {
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

// factorsChanged reports whether any factor changed by more than minFactorChange.
func factorsChanged(a, b share.Factors) bool {
	for g := range a {
		if math.Abs(b.Of(g)/a.Of(g)-1) > minFactorChange {
			return true
		}
	}
	for g := range b {
		if math.Abs(b.Of(g)/a.Of(g)-1) > minFactorChange {
			return true
		}
	}
	return false
}

// ShareSource returns a gossip source that reads the newest share factors.
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
