package admin

import (
	"encoding/json"
	"time"

	"chervilhead/internal/state/table"
)

// The rows of the table and their sheets.
type (
	// Table is one revision of the whole table.
	Table = table.Table
	// Group is a row for one customer group.
	Group = table.Group
	// Model is a row for a model or an adapter.
	Model = table.Model
	// Service is a row for a plain service.
	Service = table.Service
	// Route identifies calls of a plain service by method and path.
	Route = table.Route
	// Key is a row for a bearer key.
	Key = table.Key
	// Row is a row of any sheet.
	Row = table.Row
	// Sheet names one sheet of the table.
	Sheet = table.Sheet
	// Change is the difference in one row between two revisions.
	Change = table.Change
)

// The sheets of the table.
const (
	Groups   = table.SheetGroups
	Models   = table.SheetModels
	Services = table.SheetServices
	Keys     = table.SheetKeys
)

// Op changes one row; a nil Row deletes it. Expect is the revision of the row
// that the edit is based on; 0 requires that the row is absent.
type Op struct {
	Sheet  Sheet  `json:"sheet"`
	Name   string `json:"name"`
	Row    Row    `json:"row"`
	Expect uint64 `json:"expect"`
}

// Edit changes rows together, all or none. ID identifies the edit when it is repeated; an empty
// one is replaced by a random id.
type Edit struct {
	ID   string `json:"-"`
	Note string `json:"note,omitempty"`
	Ops  []Op   `json:"ops"`
	// DryRun validates the edit and returns its changes without writing.
	DryRun bool `json:"-"`
}

// Edited is the result of an accepted edit or of a dry run.
type Edited struct {
	Revision uint64   `json:"revision"`
	EditID   string   `json:"edit_id"`
	DryRun   bool     `json:"dry_run,omitempty"`
	Replayed bool     `json:"replayed,omitempty"`
	Changes  []Change `json:"changes"`
}

// HistoryEntry is an accepted edit.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	When     time.Time `json:"when"`
	Note     string    `json:"note,omitempty"`
	Changes  []Change  `json:"changes"`
}

// Diff is the difference between two revisions.
type Diff struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Changes []Change `json:"changes"`
}

// NodeRevision is the table revision in force on one node; 0 means that the node did not answer.
type NodeRevision struct {
	ID        string `json:"id"`
	Role      string `json:"role"`
	Revision  uint64 `json:"revision"`
	LagMillis int64  `json:"lag_ms"`
}

// Propagation tells which nodes have the newest revision in force. LastMillis is the time
// from the first to the last node that has it. Pending counts the nodes that don't have it.
type Propagation struct {
	Revision   uint64         `json:"revision"`
	Complete   bool           `json:"complete"`
	LastMillis int64          `json:"last_ms"`
	Pending    int            `json:"pending"`
	Nodes      []NodeRevision `json:"nodes"`
}

// StaleRow is a row that has changed since it was read, with both versions; null stands for no row.
type StaleRow struct {
	Sheet    Sheet           `json:"sheet"`
	Name     string          `json:"name"`
	Expected uint64          `json:"expected"`
	Current  json.RawMessage `json:"current"`
	Proposed json.RawMessage `json:"proposed"`
}
