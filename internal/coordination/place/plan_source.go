package place

import (
	"context"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
)

// PlanSource returns a gossip source that reads the newest plan. While the node holds that
// plan, it reads only the plan's head row.
func PlanSource(st store.TableService) gossip.Source {
	return func(ctx context.Context, have uint64) (gossip.Document, error) {
		row, err := st.Get(ctx, headKey)
		if err != nil {
			return gossip.Document{}, err
		}
		if version, err := decodeHead(row); err != nil || version <= have {
			return gossip.Document{}, err
		}
		p, _, err := readPlan(ctx, st)
		if err != nil || p.Version <= have {
			return gossip.Document{}, err
		}
		return gossip.Document{Kind: gossip.KindPlan, Version: p.Version, Data: plan.Encode(p)}, nil
	}
}
