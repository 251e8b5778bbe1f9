package claim

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chervilhead/internal/coordination/store"
)

const (
	// SweepInterval is the mean time between two sweeps of one process.
	SweepInterval = 10 * time.Second
	// sweepBatch is the number of claims deleted in one commit.
	sweepBatch = 128
	// sweepSteps bounds the age buckets that one sweep handles.
	sweepSteps = 16
)

// Run sweeps until the context ends; the jitter keeps processes from sweeping together.
func (k *Manager) Run(ctx context.Context) {
	for sleep(ctx, k.cfg.Random.Around(SweepInterval)) == nil {
		if err := k.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			k.log.WithError(err).Debug("claims not swept")
		}
	}
}

// Sweep deletes claims past their retention, as far as its bounds allow. Concurrent
// sweeps are safe: the cursor moves by conditional writes, and a claim is deleted only
// while the row that orders it by age is the one that was read.
func (k *Manager) Sweep(ctx context.Context, now time.Time) error {
	last := bucketOf(now.Add(-k.cfg.Retention).UnixMilli()) - 1
	cur, err := k.get(ctx, cursorKey)
	if err != nil {
		return err
	}
	next := last
	if cur.Version != 0 {
		if next, err = strconv.ParseInt(string(cur.Value), 10, 64); err != nil {
			return fmt.Errorf("row %q does not decode; have an operator delete it: %w", cursorKey, err)
		}
	}
	start := next
	for ; next <= last && next-start < sweepSteps; next++ {
		if err := k.sweepBucket(ctx, next); err != nil {
			return err
		}
	}
	if next == start {
		return nil
	}
	_, err = k.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: cursorKey, Version: cur.Version}},
		Writes: []store.Write{{Key: cursorKey, Value: strconv.AppendInt(nil, next, 10)}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // another process sweeps
	}
	return err
}

func (k *Manager) sweepBucket(ctx context.Context, bucket int64) error {
	prefix := bucketPrefix(bucket)
	snap, err := k.table.Read(ctx, prefix)
	if err != nil {
		return err
	}
	for rows := snap.Rows; len(rows) > 0; {
		n := min(sweepBatch, len(rows))
		var txn store.Txn
		for _, r := range rows[:n] {
			txn.Conds = append(txn.Conds, store.Cond{Key: r.Key, Version: r.Version})
			txn.Writes = append(txn.Writes,
				store.Write{Key: r.Key, Delete: true},
				store.Write{Key: strings.TrimPrefix(r.Key, prefix), Delete: true})
		}
		if _, err := k.table.Commit(ctx, txn); err != nil {
			return err
		}
		rows = rows[n:]
	}
	return nil
}
