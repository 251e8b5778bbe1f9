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
	maxBodyBytes  = 4 << 20
	statusTimeout = time.Second
	// statusAtOnce bounds the processes asked at once for their status.
	statusAtOnce = 32
	// copyRetry is the wait before another write to an object store that is away.
	copyRetry = time.Second
)

// API serves operators from one entry.
type API struct {
	st      store.TableService
	objects store.Objects
	editor  *edit.Editor
	docs    *gossip.Store
	members *member.Watcher
	pool    *peer.Pool
	self    func() wire.Status
	log     *logrus.Entry
	// committed is signalled after each edit.
	committed chan struct{}
}

// New returns the operators' API; self is the status of the entry it runs in.
func New(st store.TableService, objects store.Objects, docs *gossip.Store, members *member.Watcher, pool *peer.Pool, self func() wire.Status, log *logrus.Entry) *API {
	return &API{
		st: st, objects: objects, editor: edit.New(st, time.Now), docs: docs, members: members, pool: pool, self: self, log: log,
		committed: make(chan struct{}, 1),
	}
}

// RegisterRoutes adds the API and its page to a router.
func (a *API) RegisterRoutes(r *mux.Router) {
	r.HandleFunc("/", page).Methods(http.MethodGet)
	s := r.PathPrefix("/admin/v1").Subrouter()
	s.Use(a.authorize)
	s.HandleFunc("/table", a.getTable).Methods(http.MethodGet)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.getRow).Methods(http.MethodGet)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.putRow).Methods(http.MethodPut)
	s.HandleFunc("/table/{sheet}/{name:.+}", a.deleteRow).Methods(http.MethodDelete)
	s.HandleFunc("/edits", a.postEdit).Methods(http.MethodPost)
	s.HandleFunc("/history", a.getHistory).Methods(http.MethodGet)
	s.HandleFunc("/history/{revision}", a.getEntry).Methods(http.MethodGet)
	s.HandleFunc("/history/{revision}/undo", a.postUndo).Methods(http.MethodPost)
	s.HandleFunc("/diff", a.getDiff).Methods(http.MethodGet)
	s.HandleFunc("/hosts/{id}/leave", a.postLeave).Methods(http.MethodPost)
	s.HandleFunc("/status", a.getStatus).Methods(http.MethodGet)
	s.HandleFunc("/propagation", a.getPropagation).Methods(http.MethodGet)
}

// Run copies the table to the object store after each edit until the context ends.
func (a *API) Run(ctx context.Context) {
	for {
		select {
		case <-a.committed:
		case <-ctx.Done():
			return
		}
		for a.copyTable(ctx) != nil {
			select {
			case <-time.After(copyRetry):
			case <-ctx.Done():
				return
			}
		}
	}
}

func (a *API) copyTable(ctx context.Context) error {
	err := edit.SaveBackup(ctx, a.objects, a.docs.Get(gossip.KindTable))
	if err != nil && ctx.Err() == nil {
		a.log.WithError(err).Debug("table not copied to the object store; trying again")
	}
	return err
}

// operator is the context key of the name of the operator's key.
type operator struct{}

// authorize lets operators' keys through.
func (a *API) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, err := table.Decode(a.docs.Get(gossip.KindTable).Data)
		if err != nil {
			openai.WriteError(w, fault.New(fault.Unavailable, "no_table", "the node holds no table yet", "retry later").WithRetryAfter(time.Second))
			return
		}
		bearer, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		key, ok := t.Authenticate(strings.TrimSpace(bearer))
		if !ok || !key.Operator {
			openai.WriteError(w, fault.New(fault.Auth, "invalid_operator_key", "the bearer key is not an operator's", "send an operator's key in the Authorization header"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operator{}, key.Name)))
	})
}

func who(r *http.Request) string {
	name, _ := r.Context().Value(operator{}).(string)
	return name
}

func (a *API) getTable(w http.ResponseWriter, r *http.Request) {
	t, err := edit.LoadTable(r.Context(), a.st)
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	reply(w, http.StatusOK, t)
}

func (a *API) getRow(w http.ResponseWriter, r *http.Request) {
	t, err := edit.LoadTable(r.Context(), a.st)
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
	replyRow(w, row)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
