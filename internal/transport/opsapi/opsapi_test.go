package opsapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
)

// TestPreconditions guards against accepting an edit that does not name the row revision
// it is based on, and against merging a stale edit.
func TestPreconditions(t *testing.T) {
	faults := &pltsim.Faults{}
	st := pltsim.NewTable(faults)
	rows := table.New(0, []table.Group{{Name: "recall", Weight: 1}}, nil, nil, []table.Key{{Name: "op", Hash: ident.HashKey("op"), Operator: true}})
	if _, err := edit.SeedTable(t.Context(), st, rows); err != nil {
		t.Fatal(err)
	}
	docs := gossip.NewStore()
	docs.PutIfNewer(edit.TableDocument(rows.WithRevision(1)))
	r := mux.NewRouter()
	New(st, pltsim.NewObjects(faults), docs, nil, nil, nil, logrus.NewEntry(logrus.New())).RegisterRoutes(r)
	for _, tc := range []struct {
		name, method, path, match, body string
		status                          int
		revision                        uint64
	}{
		{"missing", http.MethodPut, "/table/groups/recall", "", `{"weight":2}`, http.StatusPreconditionRequired, 1},
		{"missing in a batch", http.MethodPost, "/edits", "", `{"ops":[{"sheet":"groups","name":"recall","row":null}]}`, http.StatusPreconditionRequired, 1},
		{"current", http.MethodPut, "/table/groups/recall", "1", `{"weight":2}`, http.StatusOK, 2},
		{"stale", http.MethodPut, "/table/groups/recall", "1", `{"weight":3}`, http.StatusPreconditionFailed, 2},
		{"stale deletion", http.MethodDelete, "/table/groups/recall", "1", ``, http.StatusPreconditionFailed, 2},
		{"unknown column", http.MethodPut, "/table/groups/recall", "2", `{"wait":3}`, http.StatusBadRequest, 2},
		{"deletion", http.MethodDelete, "/table/groups/recall", "2", ``, http.StatusOK, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := httptest.NewRequestWithContext(t.Context(), tc.method, "/admin/v1"+tc.path, strings.NewReader(tc.body))
			req.Header.Set("Authorization", "Bearer op")
			if tc.match != "" {
				req.Header.Set("If-Match", tc.match)
			}
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			current, err := edit.LoadTable(t.Context(), st)
			g, _ := current.Group("recall")
			if err != nil || w.Code != tc.status || g.Revision != tc.revision {
				t.Fatalf("status %d, revision %d, error %v: %s", w.Code, g.Revision, err, w.Body)
			}
			var stale struct {
				Current *table.Group `json:"current"`
			}
			_ = json.Unmarshal(w.Body.Bytes(), &stale)
			if tc.status == http.StatusPreconditionFailed && (stale.Current == nil || stale.Current.Revision != tc.revision) {
				t.Fatalf("the reply does not contain the current row: %s", w.Body)
			}
		})
	}
}
