package pltsim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/plat"
)

const maxBodyBytes = 32 << 20

// Platform bundles the four services behind one HTTP handler.
type Platform struct {
	Faults  *Faults
	Table   *Table
	Objects *Objects
	Weights *Weights
	Hosts   *Hosts
}

// Handler serves the platform's protocol, and faults and host states under /standin.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(plat.PathTableRead, p.read).Methods(http.MethodGet)
	r.HandleFunc(plat.PathTableGet, p.get).Methods(http.MethodGet)
	r.HandleFunc(plat.PathTableCommit, p.commit).Methods(http.MethodPost)
	r.HandleFunc(plat.PathObjects+"{name}", p.putObject).Methods(http.MethodPut)
	r.HandleFunc(plat.PathObjects+"{name}", p.getObject).Methods(http.MethodGet)
	r.HandleFunc(plat.PathWeights+"{model}", p.weights).Methods(http.MethodGet)
	r.HandleFunc(plat.PathHosts, p.hosts).Methods(http.MethodGet)
	r.HandleFunc("/standin/hosts/{id}/{state}", p.setHost).Methods(http.MethodPost)
	// With ?service=table, objects, weights or hosts these calls change one service.
	r.HandleFunc("/standin/away/{value}", p.setAway).Methods(http.MethodPost)
	r.HandleFunc("/standin/delay/{value}", p.setDelay).Methods(http.MethodPost)
	r.HandleFunc("/standin/lag/{value}", p.setLag).Methods(http.MethodPost)
	r.HandleFunc("/standin/lose_replies/{value}", p.loseReplies).Methods(http.MethodPost)
	return r
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := version(q.Get("since"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := p.Table.ReadSince(r.Context(), q.Get("prefix"), since)
	reply(w, out, err)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	reply(w, row, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, err := p.Table.Commit(r.Context(), txn)
	reply(w, plat.CommitReply{Version: v}, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, struct{}{}, p.Objects.Put(r.Context(), mux.Vars(r)["name"], data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		reply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	rc, err := p.Weights.Open(r.Context(), mux.Vars(r)["model"])
	if err != nil {
		reply(w, nil, err)
		return
	}
	defer rc.Close()
	// The place stays taken until the client closes the transfer.
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	since, err := version(r.URL.Query().Get("since"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := p.Hosts.ListSince(r.Context(), since)
	reply(w, out, err)
}

// version parses a version parameter; an absent one is 0.
func version(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func (p *Platform) setHost(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	if !p.Hosts.SetState(vars["id"], store.HostState(vars["state"])) {
		http.Error(w, "host is not listed", http.StatusNotFound)
		return
	}
	reply(w, struct{}{}, nil)
}

func (p *Platform) setAway(w http.ResponseWriter, r *http.Request) {
	setFault(p, w, r, strconv.ParseBool, (*Faults).SetUnavailable)
}

func (p *Platform) setDelay(w http.ResponseWriter, r *http.Request) {
	setFault(p, w, r, time.ParseDuration, (*Faults).SetDelay)
}

func (p *Platform) setLag(w http.ResponseWriter, r *http.Request) {
	setFault(p, w, r, time.ParseDuration, (*Faults).SetLag)
}

func (p *Platform) loseReplies(w http.ResponseWriter, r *http.Request) {
	setFault(p, w, r, strconv.Atoi, (*Faults).LoseReplies)
}

// setFault sets a fault of the whole platform or of the service that the request names.
func setFault[T any](p *Platform, w http.ResponseWriter, r *http.Request, parse func(string) (T, error), set func(*Faults, T)) {
	v, err := parse(mux.Vars(r)["value"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	faults := p.Faults
	if s := Service(r.URL.Query().Get("service")); s != "" {
		if !slices.Contains(services, s) {
			http.Error(w, "service is not one of table, objects, weights and hosts", http.StatusNotFound)
			return
		}
		faults = p.Faults.ForService(s)
	}
	set(faults, v)
	reply(w, struct{}{}, nil)
}

func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
