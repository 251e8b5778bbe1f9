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
	// claimRetention is how long a recorded outcome is replayed for its key.
	claimRetention = 24 * time.Hour
	// settleTimeout is how long the end of an answer is delayed until its outcome is
	// recorded, so that a caller with the complete answer can resend the key at once.
	settleTimeout = 250 * time.Millisecond
	// closeTimeout is how long Close waits for claims that are being settled.
	closeTimeout = 2 * time.Second
	// headerReplayed marks an answer replayed from a recorded outcome.
	headerReplayed = "Idempotent-Replayed"
)

// EnableIdempotencyKeys makes the entry claim non-idempotent requests that carry a key in
// the table service. Without it such requests are rejected.
func (e *Entry) EnableIdempotencyKeys(table store.TableService, objects store.Objects) {
	e.claims = claim.New(claim.Settings{
		Owner: claim.Owner{Node: e.cfg.ID, Incarnation: e.incarnation}, OwnerAlive: e.ownerAlive, Retention: claimRetention, Random: e.jitter,
	}, table, objects, e.log)
}

// ExpireIdempotencyKeys deletes claims past their retention until the context ends.
func (e *Entry) ExpireIdempotencyKeys(ctx context.Context) { e.claims.Run(ctx) }

func (e *Entry) closeClaims() {
	if e.claims == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	e.claims.Close(ctx)
}

// ownerAlive reports whether the entry that made a claim still runs. An entry that does
// not answer counts as alive while its host is in the host list, unless the host refuses
// the connection.
func (e *Entry) ownerAlive(ctx context.Context, o claim.Owner) bool {
	v := e.members.View()
	h, ok := v.Host(o.Node)
	if !ok {
		return v.Live(o.Node) // true only while no host list has been read
	}
	conn, err := e.pool.Get(ctx, h.Address)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	return conn.HelloReply.Incarnation == o.Incarnation
}

// beginClaim claims a non-idempotent request that has a key. It returns the writer and
// the request to continue with and a function that settles the claim, or a nil function if
// the caller has been answered. A claimed request continues when its caller disconnects,
// because the caller can fetch the outcome by sending the key again.
func (e *Entry) beginClaim(w http.ResponseWriter, r *http.Request, req *request) (http.ResponseWriter, *http.Request, func()) {
	keys := r.Header.Values(openai.HeaderIdempotencyKey)
	if req.idempotent || len(keys) == 0 {
		return w, r, func() {}
	}
	handle, rec, ferr := e.acquireClaim(r.Context(), req, strings.Join(keys, ","))
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
		timer := time.NewTimer(settleTimeout)
		defer timer.Stop()
		select {
		case <-e.claims.Settle(handle, out.record()):
		case <-timer.C:
		}
	}
}

func (e *Entry) acquireClaim(ctx context.Context, req *request, key string) (*claim.Handle, *claim.Record, *fault.Error) {
	if ferr := claim.CheckKey(key); ferr != nil {
		return nil, nil, ferr
	}
	if e.claims == nil {
		return nil, nil, fault.Outage("table", errors.New("the entry has no table service")).WithOutcome(fault.OutcomeNotRun)
	}
	operation := string(req.kind) + " " + req.model
	if req.httpRequest != nil {
		operation += " " + req.httpRequest.Method + " " + req.httpRequest.Path + "?" + req.httpRequest.Query
	}
	return e.claims.Acquire(ctx, claim.Request{Group: req.group, Key: key, Fingerprint: ident.Fingerprint(req.group, operation, req.body)})
}

// replay writes a recorded outcome as the answer.
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

// recorder is a response writer that also records the answer. Its writes succeed after
// the caller has disconnected, so that the request still runs to its end.
type recorder struct {
	w        http.ResponseWriter
	status   int
	header   http.Header
	body     []byte
	overflow bool
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
	if r.overflow = r.overflow || len(r.body)+len(b) > claim.MaxBodyBytes; r.overflow {
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

// Unwrap returns the caller's response writer to http.ResponseController.
func (r *recorder) Unwrap() http.ResponseWriter { return r.w }

// record returns the claim record of the answer. A truncated answer is recorded as an
// error, so that its replay is not taken for a complete one.
func (r *recorder) record() claim.Record {
	outcome := fault.Outcome(r.Header().Get(openai.HeaderOutcome))
	if outcome != "" {
		return claim.Record{Outcome: outcome, Status: r.status, Header: r.header, Body: r.body, BodyOmitted: r.overflow}
	}
	truncated := &recorder{w: discard{h: http.Header{}}}
	openai.WriteError(truncated, fault.New(fault.Upstream, fault.CodeTruncated, "the answer to this idempotency key was truncated",
		"find out whether the request took effect before you send it under a new key").WithOutcome(fault.OutcomeUnknown))
	return truncated.record()
}

// discard is a response writer that drops what is written.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) WriteHeader(int)             {}
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
