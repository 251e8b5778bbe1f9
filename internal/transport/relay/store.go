package relay

import (
	"context"
	"sync"
	"time"

	"chervilhead/internal/coordination/watch"
)

// storeReadInterval is the age up to which a configuration that was read from the store is handed
// out without another read.
const storeReadInterval = 500 * time.Millisecond

// FromStore returns a function for Listen that reads the configuration from the store, at most once
// in storeReadInterval however many gateways ask.
func FromStore(src watch.Source) func(context.Context) (Held, error) {
	var mu sync.Mutex
	var held Held
	var readAt time.Time
	return func(ctx context.Context) (Held, error) {
		mu.Lock()
		defer mu.Unlock()
		if !readAt.IsZero() && time.Since(readAt) < storeReadInterval {
			return held, nil
		}
		ch, err := src.Config(ctx, 0, 0)
		if err != nil {
			return Held{}, err
		}
		if ch.Changed {
			held = Held{Version: ch.Config.Version, Data: ch.Data}
		}
		readAt = time.Now()
		return held, nil
	}
}
