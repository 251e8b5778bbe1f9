package opsapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/guard"
)

// HeaderEditID is the header that carries the id of an edit. An edit that is sent again
// with the same id is applied once.
const HeaderEditID = "Chervilhead-Edit-Id"

// Op is the edit of one row in a batch edit. A null Row deletes the row; Expect is the row
// revision that the edit is based on, 0 for a row to create.
type Op struct {
	Sheet  table.Sheet     `json:"sheet"`
	Name   string          `json:"name"`
	Row    json.RawMessage `json:"row"`
	Expect *uint64         `json:"expect"`
}

// BatchEdit is the body of a batch edit.
type BatchEdit struct {
	Note string `json:"note,omitempty"`
	Ops  []Op   `json:"ops"`
}

// Edited is the reply to a batch edit, an undo or a dry run.
type Edited struct {
	// Revision is the table's revision after the edit.
	Revision uint64 `json:"revision"`
	EditID   string `json:"edit_id"`
	// DryRun means that nothing was written.
	DryRun bool `json:"dry_run,omitempty"`
	// Replayed means that an earlier request had already applied the edit.
	Replayed bool           `json:"replayed,omitempty"`
	Changes  []table.Change `json:"changes"`
}

// expectedRevision returns the row revision that an edit is based on, from If-Match.
func expectedRevision(r *http.Request) (uint64, *fault.Error) {
	h := strings.Trim(r.Header.Get("If-Match"), `"`)
	if h == "" {
		return 0, fault.New(fault.Invalid, "missing_if_match", "the edit does not name the row revision it is based on", "read the row and send its revision in If-Match; 0 creates a row")
	}
	rev, err := strconv.ParseUint(h, 10, 64)
	if err != nil {
		return 0, fault.New(fault.Invalid, "invalid_if_match", "If-Match is not a row revision", "send the value of the row's revision field")
	}
	return rev, nil
}

func editID(r *http.Request) string {
	if id := r.Header.Get(HeaderEditID); id != "" {
		return id
	}
	return ident.New("edit-")
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := guard.ReadBody(w, r, maxBodyBytes, time.Now().Add(bodyTimeout), bodyCopies)
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		return nil, fault.New(fault.Invalid, "body_too_large", fmt.Sprintf("the body exceeds %d bytes", maxBodyBytes), "split the edit")
	case errors.Is(err, guard.ErrMemory) || errors.Is(err, guard.ErrStalled):
		return nil, fault.New(fault.Unavailable, "memory", "the memory for operators' requests is in use", "send the edit again later").WithCause(err).WithRetryAfter(time.Second)
	case errors.Is(err, guard.ErrTimeout):
		return nil, fault.New(fault.Invalid, fault.CodeBodyTimeout, fmt.Sprintf("the body did not end within %s", bodyTimeout), "send the body faster")
	case err != nil:
		return nil, err
	}
	return body.Bytes(), nil
}

func (a *API) putRow(w http.ResponseWriter, r *http.Request) {
	rev, ferr := expectedRevision(r)
	if ferr != nil {
		writePreconditionError(w, ferr)
		return
	}
	data, err := readBody(w, r)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	sheet, name := table.Sheet(mux.Vars(r)["sheet"]), mux.Vars(r)["name"]
	row, err := table.DecodeRow(sheet, data)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	a.editRow(w, r, edit.Op{Sheet: sheet, Name: name, Row: withName(row, name), Expect: rev})
}

// withName returns the row with the name from the request path.
func withName(row table.Row, name string) table.Row {
	switch r := row.(type) {
	case table.Group:
		r.Name = name
		return r
	case table.Model:
		r.Name = name
		return r
	case table.Service:
		r.Name = name
		return r
	case table.Key:
		r.Name = name
		return r
	}
	return row
}

func (a *API) deleteRow(w http.ResponseWriter, r *http.Request) {
	rev, ferr := expectedRevision(r)
	if ferr != nil {
		writePreconditionError(w, ferr)
		return
	}
	sheet := table.Sheet(mux.Vars(r)["sheet"])
	if len(table.Columns(sheet)) == 0 {
		openai.WriteError(w, fault.As(table.UnknownSheetError(string(sheet))))
		return
	}
	a.editRow(w, r, edit.Op{Sheet: sheet, Name: mux.Vars(r)["name"], Expect: rev})
}

// editRow applies an edit of one row and writes the row as the reply.
func (a *API) editRow(w http.ResponseWriter, r *http.Request, op edit.Op) {
	req := edit.Request{ID: editID(r), Who: operatorName(r), Ops: []edit.Op{op}}
	if isDryRun(r) {
		a.writeDryRun(w, r, req)
		return
	}
	res, err := a.apply(r.Context(), req)
	w.Header().Set(HeaderEditID, req.ID)
	switch {
	case err != nil:
		writeEditError(w, err)
	case op.Row == nil:
		emptyRow, _ := table.DecodeRow(op.Sheet, []byte(`{}`)) // an empty row always decodes
		writeJSON(w, http.StatusOK, withName(emptyRow, op.Name))
	default:
		writeRow(w, op.Row.WithRevision(res.Entry.Revision))
	}
}

func writeRow(w http.ResponseWriter, row table.Row) {
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, row.RowRevision()))
	writeJSON(w, http.StatusOK, row)
}

func isDryRun(r *http.Request) bool { return r.URL.Query().Get("dry_run") == "true" }

func (a *API) writeDryRun(w http.ResponseWriter, r *http.Request, req edit.Request) {
	before, after, err := a.editor.DryRun(r.Context(), req)
	if err != nil {
		writeEditError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Edited{Revision: after.Revision, EditID: req.ID, DryRun: true, Changes: table.Diff(before, after)})
}

// apply commits an edit and brings it into force on this node, from which gossip
// replicates it.
func (a *API) apply(ctx context.Context, req edit.Request) (edit.Result, error) {
	res, err := a.editor.Apply(ctx, req)
	if err != nil {
		return res, err
	}
	a.log.WithField("revision", res.Entry.Revision).WithField("edit", req.ID).WithField("who", req.Who).
		WithField("replayed", res.Replayed).Info("table edit committed")
	if res.Table.Revision > 0 {
		a.docs.PutIfNewer(edit.TableDocument(res.Table))
	} else if d, err := edit.TableSource(a.tableService)(ctx, a.docs.Get(gossip.KindTable).Version); err == nil && d.Version > 0 {
		a.docs.PutIfNewer(d)
	}
	select {
	case a.committed <- struct{}{}:
	default:
	}
	return res, nil
}

func (a *API) postEdit(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	req, ferr := decodeBatch(data)
	if ferr != nil {
		writePreconditionError(w, ferr)
		return
	}
	req.ID, req.Who = editID(r), operatorName(r)
	a.serveEdit(w, r, req)
}

func decodeBatch(data []byte) (edit.Request, *fault.Error) {
	var b BatchEdit
	if err := json.Unmarshal(data, &b); err != nil {
		return edit.Request{}, fault.New(fault.Invalid, "malformed_edit", "the body is not a batch edit: "+err.Error(), `send {"ops":[{"sheet","name","row","expect"}]}`)
	}
	req := edit.Request{Note: b.Note}
	for _, o := range b.Ops {
		if o.Expect == nil {
			return req, fault.New(fault.Invalid, "missing_if_match", fmt.Sprintf("the edit of %s row %q does not name the row revision it is based on", o.Sheet, o.Name),
				"read the row and send its revision in expect; 0 creates a row")
		}
		op := edit.Op{Sheet: o.Sheet, Name: o.Name, Expect: *o.Expect}
		if len(table.Columns(o.Sheet)) == 0 {
			return req, fault.As(table.UnknownSheetError(string(o.Sheet)))
		}
		if len(o.Row) > 0 && string(o.Row) != "null" {
			row, err := table.DecodeRow(o.Sheet, o.Row)
			if err != nil {
				return req, fault.As(err)
			}
			op.Row = row
		}
		req.Ops = append(req.Ops, op)
	}
	return req, nil
}

func (a *API) serveEdit(w http.ResponseWriter, r *http.Request, req edit.Request) {
	if isDryRun(r) {
		a.writeDryRun(w, r, req)
		return
	}
	res, err := a.apply(r.Context(), req)
	w.Header().Set(HeaderEditID, req.ID)
	if err != nil {
		writeEditError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Edited{Revision: res.Entry.Revision, EditID: req.ID, Replayed: res.Replayed, Changes: res.Entry.Changes})
}

func (a *API) postUndo(w http.ResponseWriter, r *http.Request) {
	rev, ferr := parseRevision(mux.Vars(r)["revision"])
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	req, err := edit.UndoRequest(r.Context(), a.tableService, rev, editID(r), operatorName(r))
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	a.serveEdit(w, r, req)
}

func writePreconditionError(w http.ResponseWriter, e *fault.Error) {
	if e.Code == "missing_if_match" {
		writeJSON(w, http.StatusPreconditionRequired, openai.NewErrorBody(e))
		return
	}
	openai.WriteError(w, e)
}

// staleReply is the reply to an edit of rows that have changed since the revisions it names.
type staleReply struct {
	openai.ErrorBody
	Current table.Row `json:"current"`
	// Rows lists every stale row with both versions; Current is the current version of the first.
	Rows []edit.StaleRow `json:"rows"`
}

func writeEditError(w http.ResponseWriter, err error) {
	var stale *edit.StaleError
	if !errors.As(err, &stale) {
		openai.WriteError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusPreconditionFailed, staleReply{
		ErrorBody: openai.NewErrorBody(fault.New(fault.Conflict, "stale_edit", stale.Error(), "")),
		Current:   stale.Rows[0].Current, Rows: stale.Rows,
	})
}
