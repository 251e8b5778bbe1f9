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
	// maxSweepBuckets bounds the age buckets that one sweep handles.
	maxSweepBuckets = 16
)

// Run sweeps until the context ends; the jitter keeps processes from sweeping together.
func (m *Manager) Run(ctx context.Context) {
	for sleep(ctx, m.cfg.Random.Around(SweepInterval)) == nil {
		if err := m.Sweep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			m.log.WithError(err).Debug("cannot sweep claims")
		}
	}
}

// Sweep deletes claims past their retention, up to maxSweepBuckets age buckets. Concurrent
// sweeps are safe: the cursor is advanced by conditional writes, and a claim is deleted only
// if the row that orders it by age is unchanged since it was read.
func (m *Manager) Sweep(ctx context.Context, now time.Time) error {
	last := bucketOf(now.Add(-m.cfg.Retention).UnixMilli()) - 1
	cur, err := m.get(ctx, cursorKey)
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
	for ; next <= last && next-start < maxSweepBuckets; next++ {
		if err := m.sweepBucket(ctx, next); err != nil {
			return err
		}
	}
	if next == start {
		return nil
	}
	_, err = m.table.Commit(ctx, store.Txn{
		Conds:  []store.Cond{{Key: cursorKey, Version: cur.Version}},
		Writes: []store.Write{{Key: cursorKey, Value: strconv.AppendInt(nil, next, 10)}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // another process has swept meanwhile
	}
	return err
}

func (m *Manager) sweepBucket(ctx context.Context, bucket int64) error {
	prefix := bucketPrefix(bucket)
	snap, err := m.table.Read(ctx, prefix)
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
		if _, err := m.table.Commit(ctx, txn); err != nil {
			return err
		}
		rows = rows[n:]
	}
	return nil
}
