package edit

import (
	"fmt"
	"strings"

	"chervilhead/internal/state/table"
)

// CodeUnsettled is the error code of an edit that may have taken effect.
const CodeUnsettled = "edit_unsettled"

// StaleRow is a row that has changed since the revision that an edit is based on.
type StaleRow struct {
	Sheet table.Sheet `json:"sheet"`
	Name  string      `json:"name"`
	// Expected is the revision that the edit was based on.
	Expected uint64 `json:"expected"`
	// Current is the row as it is now; it is nil when the row is absent.
	Current table.Row `json:"current"`
	// Proposed is the row that the edit would have written; it is nil for a deletion.
	Proposed table.Row `json:"proposed"`
}

// StaleError means that rows have changed since the revisions that an edit is based on;
// nothing was written.
type StaleError struct{ Rows []StaleRow }

// Error implements the error interface.
func (e *StaleError) Error() string {
	parts := make([]string, len(e.Rows))
	for i, r := range e.Rows {
		now := "absent"
		if r.Current != nil {
			now = fmt.Sprintf("at revision %d", r.Current.RowRevision())
		}
		based := "a row that does not exist yet"
		if r.Expected > 0 {
			based = fmt.Sprintf("revision %d", r.Expected)
		}
		parts[i] = fmt.Sprintf("%s row %q is %s, the edit is based on %s", r.Sheet, r.Name, now, based)
	}
	return strings.Join(parts, "; ") + "; read the row again and repeat the edit"
}
