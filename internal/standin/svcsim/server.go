package svcsim

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const maxBodyBytes = 4 << 20

// Service counts executions. Several endpoints of one service share a Service value, as those
// of a real service share a database.
type Service struct {
	// delay is the duration of one execution.
	delay time.Duration

	mu   sync.Mutex
	runs []string
}

// New returns a service whose executions take delay each.
func New(delay time.Duration) *Service { return &Service{delay: delay} }

// CountReply is the answer to GET /count.
type CountReply struct {
	Count int `json:"count"`
}

// Handler serves POST /run, which records an execution and echoes the body, and GET /count,
// which returns the number of executions.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/run", s.run).Methods(http.MethodPost)
	r.HandleFunc("/count", s.count).Methods(http.MethodGet)
	return r
}

// ExecutedBodies returns the request bodies of all executions in the order of their start.
func (s *Service) ExecutedBodies() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, string(body))
	s.mu.Unlock()
	time.Sleep(s.delay)
	if ct := r.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
}

func (s *Service) count(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	n := len(s.runs)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(CountReply{Count: n})
}
