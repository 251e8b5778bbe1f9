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
	defaultHistory = 50
	// maxDiff bounds the edits between the two revisions of a diff.
	maxDiff = 1000
)

// History is the answer to a listing of accepted edits, newest first.
type History struct {
	Edits []edit.HistoryEntry `json:"edits"`
}

// Diff is the answer to a diff of two revisions.
type Diff struct {
	From    uint64         `json:"from"`
	To      uint64         `json:"to"`
	Changes []table.Change `json:"changes"`
}

func revision(text string) (uint64, *fault.Error) {
	rev, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("%q is not a revision", text), "use a number from the history")
	}
	return rev, nil
}

// number reads a query parameter that may be absent.
func number(r *http.Request, name string, absent uint64) (uint64, *fault.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	n, ferr := revision(text)
	if ferr != nil {
		return 0, ferr.WithParam(name)
	}
	return n, nil
}

func (a *API) getHistory(w http.ResponseWriter, r *http.Request) {
	before, ferr := number(r, "before", 0)
	limit, lerr := number(r, "limit", defaultHistory)
	if ferr == nil {
		ferr = lerr
	}
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	entries, err := edit.History(r.Context(), a.st, before, int(min(limit, maxDiff)))
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	reply(w, http.StatusOK, History{Edits: entries})
}

func (a *API) getEntry(w http.ResponseWriter, r *http.Request) {
	rev, ferr := revision(mux.Vars(r)["revision"])
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	entry, err := edit.FindRevision(r.Context(), a.st, rev)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	reply(w, http.StatusOK, entry)
}

func (a *API) getDiff(w http.ResponseWriter, r *http.Request) {
	from, ferr := number(r, "from", 0)
	to, terr := number(r, "to", 0)
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
	reply(w, http.StatusOK, d)
}

// diff composes the accepted edits between two revisions; 0 stands for the newest as to.
func (a *API) diff(ctx context.Context, from, to uint64) (Diff, error) {
	before := to + 1
	if to == 0 {
		before = 0
	}
	entries, err := edit.History(ctx, a.st, before, maxDiff)
	if err != nil {
		return Diff{}, err
	}
	if len(entries) > 0 {
		to = entries[0].Revision
	}
	if from > to {
		return Diff{}, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("revision %d is newer than %d", from, to), "name the older revision first").WithParam("from")
	}
	// The first accepted edit follows the revision that the table was filled with.
	if from == 0 || len(entries) == maxDiff && from+1 < entries[maxDiff-1].Revision {
		return Diff{}, fault.New(fault.Invalid, "invalid_revision", fmt.Sprintf("the diff cannot start at revision %d", from),
			fmt.Sprintf("name a revision from 1 on, at most %d edits back", maxDiff)).WithParam("from")
	}
	return Diff{From: from, To: to, Changes: edit.NetChanges(entries, from)}, nil
}
