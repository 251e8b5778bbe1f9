package engsim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/engine"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

const maxBodyBytes = 4 << 20

// Handler serves the engine protocol, and POST /standin/crash. While the engine is down it
// aborts requests for state, generation and resumption, and orders.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(openai.PathChat, e.serveChat).Methods(http.MethodPost)
	r.HandleFunc(openai.PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc(engine.PathState, e.serveState).Methods(http.MethodGet)
	r.HandleFunc(engine.PathOrders, e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc(engine.PathEvents, e.serveEvents).Methods(http.MethodGet)
	r.HandleFunc(engine.PathRequests+"{id}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc(engine.PathRequests+"{id}/answer", e.serveResume).Methods(http.MethodGet)
	r.HandleFunc("/standin/crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash() }).Methods(http.MethodPost)
	return r
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	s, err := e.State()
	writeJSON(w, s, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		openai.WriteError(w, fault.New(fault.Invalid, "malformed_json", err.Error(), "send an order"))
		return
	}
	writeJSON(w, struct{}{}, e.DeliverOrder(o))
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	evs := e.prefixCache.since(since)
	e.mu.Unlock()
	writeJSON(w, engine.CacheEventPage{Events: evs}, nil)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.Cancel(mux.Vars(r)["id"])
	writeJSON(w, struct{}{}, nil)
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if errors.Is(err, errDown) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		openai.WriteError(w, fault.As(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(w, r, wire.KindChat)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.serveGenerate(w, r, wire.KindCompletion)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request, kind wire.AttemptKind) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		openai.WriteError(w, fault.New(fault.Invalid, "malformed_body", err.Error(), "send a smaller body"))
		return
	}
	req, ferr := openai.ParseRequest(kind, body)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	g := generation{
		id: r.Header.Get(engine.HeaderRequestID), model: req.Model, prompt: Prompt(kind, req),
		maxTokens: req.TokenLimit(0), priority: priority,
	}
	e.setIncarnationHeader(w)
	resp, err := e.start(g, newEventBuilder(kind, g), req.Stream)
	if err != nil {
		writeError(w, err)
		return
	}
	e.serveAnswer(w, r, resp, 0)
}

// setIncarnationHeader sets the header with the engine's incarnation.
func (e *Engine) setIncarnationHeader(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(engine.HeaderIncarnation, e.incarnation)
}

// writeError answers a request that was not started; while the engine is down it aborts it.
func writeError(w http.ResponseWriter, err error) {
	var fe *fault.Error
	if !errors.As(err, &fe) {
		panic(http.ErrAbortHandler)
	}
	openai.WriteError(w, fe)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		openai.WriteError(w, fault.New(fault.Invalid, "malformed_offset", err.Error(), "send the number of events received"))
		return
	}
	e.setIncarnationHeader(w)
	resp, err := e.findResponse(mux.Vars(r)["id"], r.Header.Get(engine.HeaderIncarnation))
	if err != nil {
		writeError(w, err)
		return
	}
	e.serveAnswer(w, r, resp, from)
}

// findResponse returns the response of a request that can be resumed.
func (e *Engine) findResponse(id, incarnation string) (*response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, errDown
	}
	if incarnation != "" && incarnation != e.incarnation {
		return nil, engine.Restarted(e.incarnation)
	}
	if !e.cfg.Resume.Enabled {
		return nil, engine.ResumeUnsupported()
	}
	resp, ok := e.responses[id]
	if !ok {
		return nil, engine.UnknownRequest(id)
	}
	return resp, nil
}

// Prompt returns the prompt text of a request; messages are joined by newlines.
func Prompt(kind wire.AttemptKind, req openai.Request) string {
	if kind == wire.KindCompletion {
		return text(req.Prompt)
	}
	parts := make([]string, 0, len(req.Messages))
	for _, m := range req.Messages {
		parts = append(parts, text(m.Content))
	}
	return strings.Join(parts, "\n")
}

// text decodes a JSON string; any other value is returned as raw JSON.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}
