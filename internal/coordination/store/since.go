package store

import "context"

// TableFeed is a table service that can tell what changed after a version.
type TableFeed interface {
	// ReadSince returns the rows under a prefix that changed after a version; 0 asks for all.
	ReadSince(ctx context.Context, prefix string, version uint64) (TableChanges, error)
}

// ReadSince returns what changed under a prefix, or all rows if the service is no feed.
func ReadSince(ctx context.Context, t TableService, prefix string, version uint64) (TableChanges, error) {
	if f, ok := t.(TableFeed); ok {
		return f.ReadSince(ctx, prefix, version)
	}
	snap, err := t.Read(ctx, prefix)
	return TableChanges{Snapshot: snap}, err
}

// HostChanges is what changed in the host list after a version. When Partial is unset,
// Hosts is the whole list; Version is 0 when the list keeps no versions.
type HostChanges struct {
	Version uint64 `json:"version,omitempty"`
	Partial bool   `json:"partial,omitempty"`
	Hosts   []Host `json:"hosts"`
	// Gone lists the ids of hosts taken off the list.
	Gone []string `json:"gone,omitempty"`
}

// HostFeed is a host list that can tell what changed after a version.
type HostFeed interface {
	// ListSince returns the hosts that changed after a version; 0 asks for all.
	ListSince(ctx context.Context, version uint64) (HostChanges, error)
}

// ListSince returns what changed in a host list, or the whole list if it is no feed.
func ListSince(ctx context.Context, h Hosts, version uint64) (HostChanges, error) {
	if f, ok := h.(HostFeed); ok {
		return f.ListSince(ctx, version)
	}
	list, err := h.List(ctx)
	return HostChanges{Hosts: list}, err
}
