package edit

import (
	"context"
	"errors"
	"fmt"

	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/table"
)

// backupSlots is the number of objects that hold backups. A late write replaces only the
// backup in its own slot, never a newer one in another slot.
const backupSlots = 8

func backupName(slot uint64) string { return fmt.Sprintf("table-copy-%d", slot) }

// SaveBackup writes a backup of the table to the object store; d is the table's document.
func SaveBackup(ctx context.Context, objects store.Objects, d gossip.Document) error {
	return objects.Put(ctx, backupName(d.Version%backupSlots), d.Data)
}

// ReadBackup returns the newest backup in the object store; its version is 0 if there is none.
func ReadBackup(ctx context.Context, objects store.Objects) (gossip.Document, error) {
	var newest gossip.Document
	for slot := range uint64(backupSlots) {
		data, err := objects.Get(ctx, backupName(slot))
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
