package opsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/peer"
)

const (
	maxBodyBytes = 4 << 20
	// bodyTimeout bounds the time that an operator's client takes to send a body, and bodyCopies is
	// how many times the process holds one.
	bodyTimeout   = time.Minute
	bodyCopies    = 3
	statusTimeout = time.Second
	// maxStatusCalls bounds the concurrent status calls to other processes.
	maxStatusCalls = 32
	// backupRetryInterval is the wait after a failed write to the object store.
	backupRetryInterval = time.Second
)

// API is the operators' API of one entry.
type API struct {
	tableService store.TableService
	objects      store.Objects
	editor       *edit.Editor
	docs         *gossip.Store
	members      *member.Watcher
	pool         *peer.Pool
	self         func() wire.Status
	log          *logrus.Entry
	// committed receives a signal after each edit, for Run.
	committed chan struct{}
}

// New returns the operators' API; self returns the status of the entry that it runs in.
func New(st store.TableService, objects store.Objects, docs *gossip.Store, members *member.Watcher, pool *peer.Pool, self func() wire.Status, log *logrus.Entry) *API {
	return &API{
		tableService: st, objects: objects, editor: edit.New(st, time.Now), docs: docs, members: members, pool: pool, self: self, log: log,
		committed: make(chan struct{}, 1),
	}
}

// RegisterRoutes adds the API, under /admin/v1, and its web page to a router.
func (a *API) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/", servePage).Methods(http.MethodGet)
	s := r.PathPrefix("/admin/v1").Subrouter()
	s.Use(a.authorize)
	s.HandleFunc("/table", a.getTable).Methods(http.MethodGet)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.getRow).Methods(http.MethodGet)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.putRow).Methods(http.MethodPut)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.deleteRow).Methods(http.MethodDelete)
	s.HandleFunc("/edits", a.postEdit).Methods(http.MethodPost)
	s.HandleFunc("/history", a.getHistory).Methods(http.MethodGet)
	s.HandleFunc("/history/{revision}", a.getHistoryEntry).Methods(http.MethodGet)
	s.HandleFunc("/history/{revision}/undo", a.postUndo).Methods(http.MethodPost)
	s.HandleFunc("/diff", a.getDiff).Methods(http.MethodGet)
	s.HandleFunc("/hosts/{id}/leave", a.postLeave).Methods(http.MethodPost)
	s.HandleFunc("/status", a.getStatus).Methods(http.MethodGet)
	s.HandleFunc("/propagation", a.getPropagation).Methods(http.MethodGet)
}

// Run saves a backup of the table to the object store after each edit, until the context ends.
func (a *API) Run(ctx context.Context) {
	for {
		select {
		case <-a.committed:
		case <-ctx.Done():
			return
		}
		for a.saveBackup(ctx) != nil {
			select {
			case <-time.After(backupRetryInterval):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (a *API) saveBackup(ctx context.Context) error {
	err := edit.SaveBackup(ctx, a.objects, a.docs.Get(gossip.KindTable))
	if err != nil && ctx.Err() == nil {
		a.log.WithError(err).Debug("failed to save the table backup to the object store; retrying")
	}
	return err
}

// operatorKey is the context key under which authorize stores the name of the operator's key.
type operatorKey struct{}

// authorize rejects requests without an operator's key.
func (a *API) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, err := table.Decode(a.docs.Get(gossip.KindTable).Data)
		if err != nil {
			openai.WriteError(w, fault.New(fault.Unavailable, "no_table", "the node has not received the operators' table yet", "retry later").WithRetryAfter(time.Second))
			return
		}
		bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		key, ok := t.Authenticate(strings.TrimSpace(bearer))
		if !ok || !key.Operator {
			openai.WriteError(w, fault.New(fault.Auth, "invalid_operator_key", "the bearer key is not an operator's key", "send an operator's key in the Authorization header"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, key.Name)))
	})
}

func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

func (a *API) getTable(w http.ResponseWriter, r *http.Request) {
	t, err := edit.LoadTable(r.Context(), a.tableService)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	writeJSON(w, http.StatusOK, t)
}

func (a *API) getRow(w http.ResponseWriter, r *http.Request) {
	t, err := edit.LoadTable(r.Context(), a.tableService)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	sheet, name := table.Sheet(mux.Vars(r)["sheet"]), mux.Vars(r)["name"]
	row, ok := t.Row(sheet, name)
	if !ok {
		openai.WriteError(w, fault.New(fault.NotFound, "unknown_row", string(sheet)+" row "+name+" does not exist", "list the table for the rows that exist"))
		return
	}
	writeRow(w, row)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
