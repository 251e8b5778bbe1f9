package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"

	"chervilhead/internal/coordination/claim"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
)

const (
	// claimRetention is how long a key answers with its recorded outcome.
	claimRetention = 24 * time.Hour
	// settleWait is how long an answer's last bytes wait for its record, so that a caller
	// who has the whole answer can resend the key at once and get it again.
	settleWait = 250 * time.Millisecond
	// closeWait is how long a stopping entry waits for records under way.
	closeWait = 2 * time.Second
	// headerReplayed marks an answer that was recorded earlier.
	headerReplayed = "Idempotent-Replayed"
)

// EnableIdempotencyKeys lets the entry claim non-idempotent requests in the table service.
func (e *Entry) EnableIdempotencyKeys(table store.TableService, objects store.Objects) {
	e.claims = claim.New(claim.Settings{
		Owner: claim.Owner{Node: e.cfg.ID, Incarnation: e.incarnation}, OwnerAlive: e.ownerAlive, Retention: claimRetention, Random: e.random,
	}, table, objects, e.log)
}

// ExpireIdempotencyKeys deletes claims past their retention until the context ends.
func (e *Entry) ExpireIdempotencyKeys(ctx context.Context) { e.claims.Run(ctx) }

func (e *Entry) closeClaims() {
	if e.claims == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	e.claims.Close(ctx)
}

// ownerAlive reports whether the entry that made a claim still runs. A host that does
// not answer counts as alive until the host list drops it.
func (e *Entry) ownerAlive(ctx context.Context, o claim.Owner) bool {
	v := e.members.View()
	h, ok := v.Host(o.Node)
	if !ok {
		return v.Live(o.Node) // true only while no host list has been read
	}
	link, err := e.pool.Get(ctx, h.Address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	return link.HelloReply.Incarnation == o.Incarnation
}

// claim claims a non-idempotent request that has a key. It returns the writer and the
// request to go on with and a function that settles the claim, or no function when
// the caller has been answered. A claimed request goes on when its caller disconnects,
// because the caller can fetch the outcome by sending the key again.
func (e *Entry) claim(w http.ResponseWriter, r *http.Request, req *request) (http.ResponseWriter, *http.Request, func()) {
	keys := r.Header.Values(openai.HeaderIdempotencyKey)
	if req.idempotent || len(keys) == 0 {
		return w, r, func() {}
	}
	ticket, rec, ferr := e.takeClaim(r.Context(), req, strings.Join(keys, ","))
	if ferr != nil {
		openai.WriteError(w, ferr)
		return w, r, nil
	}
	if rec != nil {
		replay(w, rec)
		return w, r, nil
	}
	out := &recorder{w: w}
	return out, r.WithContext(context.WithoutCancel(r.Context())), func() {
		timer := time.NewTimer(settleWait)
		defer timer.Stop()
		select {
		case <-e.claims.Settle(ticket, out.record()):
		case <-timer.C:
		}
	}
}

func (e *Entry) takeClaim(ctx context.Context, req *request, key string) (*claim.Handle, *claim.Record, *fault.Error) {
	if ferr := claim.CheckKey(key); ferr != nil {
		return nil, nil, ferr
	}
	if e.claims == nil {
		return nil, nil, fault.Outage("table", errors.New("the entry has no table service")).WithOutcome(fault.OutcomeNotRun)
	}
	what := string(req.kind) + " " + req.model
	if req.call != nil {
		what += " " + req.call.Method + " " + req.call.Path + "?" + req.call.Query
	}
	return e.claims.Acquire(ctx, claim.Request{Group: req.group, Key: key, Fingerprint: ident.Fingerprint(req.group, what, req.body)})
}

// replay answers with a recorded outcome.
func replay(w http.ResponseWriter, rec *claim.Record) {
	if rec.BodyOmitted {
		openai.WriteError(w, fault.New(fault.Conflict, "answer_not_kept", "the request with this idempotency key ended as "+string(rec.Outcome)+", but its answer was not kept",
			"do not send the request again under a new key unless it may run twice").WithOutcome(fault.OutcomeUnknown))
		return
	}
	h := w.Header()
	for k, vs := range rec.Header {
		h[k] = vs
	}
	h.Set(openai.HeaderOutcome, string(rec.Outcome))
	h.Set(headerReplayed, "true")
	w.WriteHeader(rec.Status)
	_, _ = w.Write(rec.Body)
}

// recorder passes an answer on and keeps it. Its writes succeed when the caller is
// gone, so that the request still runs to its end.
type recorder struct {
	w      http.ResponseWriter
	status int
	header http.Header
	body   []byte
	over   bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.w.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status, r.header = status, r.w.Header().Clone()
		r.header.Del("Trailer")
		r.header.Del(openai.HeaderOutcome)
	}
	r.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if r.over = r.over || len(r.body)+len(b) > claim.MaxBodyBytes; r.over {
		r.body = nil
	} else {
		r.body = append(r.body, b...)
	}
	_, _ = r.w.Write(b)
	return len(b), nil
}

// FlushError implements the flushing that http.ResponseController looks for.
func (r *recorder) FlushError() error {
	_ = http.NewResponseController(r.w).Flush()
	return nil
}

// record returns the outcome of the answer. An answer that was cut off is recorded as
// an error, so that its replay is not taken for a complete one.
func (r *recorder) record() claim.Record {
	outcome := fault.Outcome(r.Header().Get(openai.HeaderOutcome))
	if outcome != "" {
		return claim.Record{Outcome: outcome, Status: r.status, Header: r.header, Body: r.body, BodyOmitted: r.over}
	}
	cut := &recorder{w: discard{h: http.Header{}}}
	openai.WriteError(cut, fault.New(fault.Upstream, fault.CodeTruncated, "the answer to this idempotency key was cut off",
		"find out whether the request took effect before you send it under a new key").WithOutcome(fault.OutcomeUnknown))
	return cut.record()
}

// discard is a response writer without a caller.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) WriteHeader(int)             {}
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
