package store

import "context"

// TableFeed is a table service that can return only the changes after a version.
type TableFeed interface {
	// ReadSince returns the rows under a prefix that changed after a version; version 0 returns all.
	ReadSince(ctx context.Context, prefix string, version uint64) (TableChanges, error)
}

// ReadSince returns the changes under a prefix after a version, or all rows if the service is not a TableFeed.
func ReadSince(ctx context.Context, t TableService, prefix string, version uint64) (TableChanges, error) {
	if f, ok := t.(TableFeed); ok {
		return f.ReadSince(ctx, prefix, version)
	}
	snap, err := t.Read(ctx, prefix)
	return TableChanges{Snapshot: snap}, err
}

// HostChanges holds the changes of the host list after a version. If Partial is unset,
// Hosts is the whole list; Version is 0 if the list has no versions.
type HostChanges struct {
	Version uint64 `json:"version,omitempty"`
	Partial bool   `json:"partial,omitempty"`
	Hosts   []Host `json:"hosts"`
	// Gone lists the ids of hosts removed from the list.
	Gone []string `json:"gone,omitempty"`
}

// HostFeed is a host list that can return only the changes after a version.
type HostFeed interface {
	// ListSince returns the hosts that changed after a version; version 0 returns all.
	ListSince(ctx context.Context, version uint64) (HostChanges, error)
}

// ListSince returns the changes of a host list after a version, or the whole list if it is not a HostFeed.
func ListSince(ctx context.Context, h Hosts, version uint64) (HostChanges, error) {
	if f, ok := h.(HostFeed); ok {
		return f.ListSince(ctx, version)
	}
	list, err := h.List(ctx)
	return HostChanges{Hosts: list}, err
}
