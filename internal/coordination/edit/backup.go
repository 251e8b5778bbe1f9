package edit

import (
	"context"
	"errors"
	"fmt"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/table"
)

// copySlots is the number of objects that hold copies. A write that arrives late
// replaces only the copy of its own slot, never a newer one in another slot.
const copySlots = 8

func copyName(slot uint64) string { return fmt.Sprintf("table-copy-%d", slot) }

// SaveBackup writes a copy of the table to the object store.
func SaveBackup(ctx context.Context, objects store.Objects, d gossip.Document) error {
	return objects.Put(ctx, copyName(d.Version%copySlots), d.Data)
}

// ReadBackup returns the newest copy in the object store; its version is 0 when there is none.
func ReadBackup(ctx context.Context, objects store.Objects) (gossip.Document, error) {
	var newest gossip.Document
	for slot := range uint64(copySlots) {
		data, err := objects.Get(ctx, copyName(slot))
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return newest, err
		}
		t, err := table.Decode(data)
		if err == nil && t.Revision > newest.Version {
			newest = gossip.Document{Kind: gossip.KindTable, Version: t.Revision, Data: data}
		}
	}
	return newest, nil
}
