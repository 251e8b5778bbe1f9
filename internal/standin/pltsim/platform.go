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

// Platform serves the four services through one HTTP handler.
type Platform struct {
	Faults  *Faults
	Table   *Table
	Objects *Objects
	Weights *Weights
	Hosts   *Hosts
}

// Handler serves the platform's protocol; under /standin it takes faults and host states.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc(plat.PathTableRead, p.readTable).Methods(http.MethodGet)
	r.HandleFunc(plat.PathTableGet, p.getRow).Methods(http.MethodGet)
	r.HandleFunc(plat.PathTableCommit, p.commitTable).Methods(http.MethodPost)
	r.HandleFunc(plat.PathObjects+"{name}", p.putObject).Methods(http.MethodPut)
	r.HandleFunc(plat.PathObjects+"{name}", p.getObject).Methods(http.MethodGet)
	r.HandleFunc(plat.PathWeights+"{model}", p.weights).Methods(http.MethodGet)
	r.HandleFunc(plat.PathHosts, p.hosts).Methods(http.MethodGet)
	r.HandleFunc("/standin/hosts/{id}/{state}", p.setHost).Methods(http.MethodPost)
	// These set the faults of one service with ?service=table, objects, weights or hosts, and
	// those of the whole platform without it.
	r.HandleFunc("/standin/away/{value}", p.setUnavailable).Methods(http.MethodPost)
	r.HandleFunc("/standin/delay/{value}", p.setDelay).Methods(http.MethodPost)
	r.HandleFunc("/standin/lag/{value}", p.setLag).Methods(http.MethodPost)
	r.HandleFunc("/standin/lose_replies/{value}", p.loseReplies).Methods(http.MethodPost)
	return r
}

func (p *Platform) readTable(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := parseVersion(q.Get("since"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := p.Table.ReadSince(r.Context(), q.Get("prefix"), since)
	writeReply(w, out, err)
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	writeReply(w, row, err)
}

func (p *Platform) commitTable(w http.ResponseWriter, r *http.Request) {
	var txn store.Txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, err := p.Table.Commit(r.Context(), txn)
	writeReply(w, plat.CommitReply{Version: v}, err)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeReply(w, struct{}{}, p.Objects.Put(r.Context(), mux.Vars(r)["name"], data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Objects.Get(r.Context(), mux.Vars(r)["name"])
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	rc, err := p.Weights.Open(r.Context(), mux.Vars(r)["model"])
	if err != nil {
		writeReply(w, nil, err)
		return
	}
	defer rc.Close()
	// The transfer holds its slot until the client closes the connection.
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	since, err := parseVersion(r.URL.Query().Get("since"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := p.Hosts.ListSince(r.Context(), since)
	writeReply(w, out, err)
}

// version parses a version parameter; an absent one is 0.
func parseVersion(s string) (uint64, error) {
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
	writeReply(w, struct{}{}, nil)
}

func (p *Platform) setUnavailable(w http.ResponseWriter, r *http.Request) {
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
	writeReply(w, struct{}{}, nil)
}

func writeReply(w http.ResponseWriter, v any, err error) {
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
