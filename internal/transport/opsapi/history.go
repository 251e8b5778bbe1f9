package opsapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
)

const (
	defaultHistoryLimit = 50
	// maxHistoryEdits bounds the edits of one history listing and of one diff.
	maxHistoryEdits = 1000
)

// History is the reply to a listing of the accepted edits, newest first.
type History struct {
	Edits []edit.HistoryEntry `json:"edits"`
}

// Diff is the reply with the net changes between two revisions of the table.
type Diff struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Changes []table.Change `json:"changes"`
}

func parseRevision(text string) (uint64, *fault.Error) {
	rev, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("%q is not a revision", text), "use a number from the history")
	}
	return rev, nil
}

// queryNumber returns a numeric query parameter, or defaultValue if it is absent.
func queryNumber(r *http.Request, name string, defaultValue uint64) (uint64, *fault.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, ferr := parseRevision(text)
	if ferr != nil {
		return 0, ferr.WithParam(name)
	}
	return n, nil
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	before, ferr := queryNumber(r, "before", 0)
	limit, lerr := queryNumber(r, "limit", defaultHistoryLimit)
	if ferr == nil {
		ferr = lerr
	}
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	entries, err := edit.History(r.Context(), a.tableService, before, int(min(limit, maxHistoryEdits)))
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusOK, History{Edits: entries})
}

func (a *API) getHistoryEntry(w http.ResponseWriter, r *http.Request) {
	rev, ferr := parseRevision(mux.Vars(r)["revision"])
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	entry, err := edit.FindRevision(r.Context(), a.tableService, rev)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func (a *API) getDiff(w http.ResponseWriter, r *http.Request) {
	from, ferr := queryNumber(r, "from", 0)
	to, terr := queryNumber(r, "to", 0)
	if ferr == nil {
		ferr = terr
	}
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	d, err := a.diff(r.Context(), from, to)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusOK, d)
}

// diff returns the net changes of the accepted edits between two revisions. If to is 0,
// it is the newest revision.
func (a *API) diff(ctx context.Context, from, to uint64) (Diff, error) {
	before := to + 1
	if to == 0 {
		before = 0
	}
	entries, err := edit.History(ctx, a.tableService, before, maxHistoryEdits)
	if err != nil {
		return Diff{}, err
	}
	if len(entries) > 0 {
		to = entries[0].Revision
	}
	if from > to {
		return Diff{}, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("revision %d is newer than %d", from, to), "name the older revision first").WithParam("from")
	}
	// The history starts after the revision at which the table was seeded.
	if from == 0 || len(entries) == maxHistoryEdits && from+1 < entries[maxHistoryEdits-1].Revision {
		return Diff{}, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("the diff cannot start at revision %d", from),
			fmt.Sprintf("name a revision of 1 or above, at most %d edits before the other one", maxHistoryEdits)).WithParam("from")
	}
	return Diff{From: from, To: to, Changes: edit.NetChanges(entries, from)}, nil
}
