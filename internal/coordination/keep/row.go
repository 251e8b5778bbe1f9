package keep

import (
	"context"
	"encoding/binary"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/clock"
)

// maxDeletes bounds the rows that one call deletes; the store takes 100 entries a call.
const maxDeletes = 64

// storeClock is a table service that can tell the store's steady clock.
type storeClock interface {
	StoreTime() (earliest, latest clock.Reading)
}

// storeTime returns the latest time that the store's clock may show, or none.
func storeTime(table store.TableService) clock.Reading {
	c, ok := table.(storeClock)
	if !ok {
		return clock.Reading{}
	}
	_, latest := c.StoreTime()
	return latest
}

// stamp is when a row was written, by the store's clock. The zero value is not known.
type stamp struct {
	AtMS int64  `json:"at_ms,omitempty"`
	Era  uint64 `json:"era,omitempty"`
}

func newStamp(r clock.Reading) stamp {
	if r.IsZero() {
		return stamp{}
	}
	return stamp{AtMS: r.Time.Milliseconds(), Era: r.Era}
}

// age returns the time since a stamp, or 0 if it isn't known: times of two eras can't be compared.
func (s stamp) age(now clock.Reading) time.Duration {
	if s.AtMS <= 0 || now.IsZero() || s.Era != now.Era {
		return 0
	}
	return max(0, now.Time-time.Duration(s.AtMS)*time.Millisecond)
}

// encodeKeys encodes keys in eight bytes each.
func encodeKeys(keys []uint64) []byte {
	out := make([]byte, 0, 8*len(keys))
	for _, k := range keys {
		out = binary.LittleEndian.AppendUint64(out, k)
	}
	return out
}

func decodeKeys(data []byte) []uint64 {
	out := make([]uint64, 0, len(data)/8)
	for ; len(data) >= 8; data = data[8:] {
		out = append(out, binary.LittleEndian.Uint64(data))
	}
	return out
}

// deleteRows deletes rows that are as they were read; a row that was written since stays.
func deleteRows(ctx context.Context, table store.TableService, rows []store.Row) error {
	var txn store.Txn
	for _, r := range rows[:min(len(rows), maxDeletes)] {
		txn.Conds = append(txn.Conds, store.Cond{Key: r.Key, Version: r.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: r.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err := table.Commit(ctx, txn)
	return err
}

// delayAfter returns the pause after calls of the store that failed in a row.
func delayAfter(failures int) time.Duration {
	return min(retryDelay<<min(failures-1, 10), maxRetryDelay)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
