package place

import (
	"context"

	"chervilhead/internal/coordination/relay"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/plan"
)

// PlanSource reads the newest plan for the relay; it reads only the head while the node holds that plan.
func PlanSource(st store.Table) relay.Source {
	return func(ctx context.Context, have uint64) (relay.Document, error) {
		row, err := st.Get(ctx, headKey)
		if err != nil {
			return relay.Document{}, err
		}
		if version, err := decodeHead(row); err != nil || version <= have {
			return relay.Document{}, err
		}
		p, _, err := readPlan(ctx, st)
		if err != nil || p.Version <= have {
			return relay.Document{}, err
		}
		return relay.Document{Kind: relay.KindPlan, Version: p.Version, Data: plan.Encode(p)}, nil
	}
}
