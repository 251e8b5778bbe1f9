package store

import (
	"context"
	"errors"
	"io"
)

// ErrConflict means that a condition of a transaction did not hold and nothing was written.
var ErrConflict = errors.New("transaction condition does not hold; read the rows again and retry")

// ErrNotFound means that an object does not exist.
var ErrNotFound = errors.New("object does not exist; write it first")

// Row is one row of the table service; Version is 0 when the row is absent.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Snapshot holds all rows under a prefix at one commit version, in key order.
type Snapshot struct {
	Version uint64 `json:"version"`
	Rows    []Row  `json:"rows"`
}

// TableChanges holds the changes under a prefix after a version. If Partial is unset, it
// holds all rows instead, because the service's change history does not reach back that far.
type TableChanges struct {
	Snapshot
	Partial bool `json:"partial,omitempty"`
	// Gone lists the keys of deleted rows.
	Gone []string `json:"gone,omitempty"`
}

// Cond is a transaction's condition that a row has a version; version 0 requires that the row is absent.
type Cond struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets a row, or deletes it when Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of writes that take effect together if every condition holds.
type Txn struct {
	Conds  []Cond  `json:"conds"`
	Writes []Write `json:"writes"`
}

// TableService is the transactional table service.
type TableService interface {
	// Read returns all rows under a prefix at one commit version.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// Get returns one row; its version is 0 when it is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Commit applies a transaction and returns its commit version, which becomes
	// the version of every row written. It returns ErrConflict when a condition
	// does not hold; after any other error the transaction may have taken effect.
	Commit(ctx context.Context, txn Txn) (uint64, error)
}

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns an object's data, or ErrNotFound when the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Weights is the rate-limited weight store, through which engines load models.
type Weights interface {
	// Open starts reading a model's weights; closing the reader ends the transfer.
	Open(ctx context.Context, model string) (io.ReadCloser, error)
}

// HostState tells whether a host may receive new work.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Role tells which process of the system runs on a host.
type Role string

// The roles in the host list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is an entry of the platform's host list.
type Host struct {
	ID            string    `json:"id" yaml:"id"`
	Role          Role      `json:"role" yaml:"role"`
	Address       string    `json:"address" yaml:"address"`
	FailureDomain string    `json:"failure_domain" yaml:"failure_domain"`
	State         HostState `json:"state" yaml:"state"`
}

// Hosts is the platform's host list, which lags behind the actual state of the hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}
