package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/prefix"
	"chervilhead/internal/transport/peer"
)

// EnablePoisonGossip makes the entry spread crash records to the addresses that peers
// returns.
func (e *Entry) EnablePoisonGossip(peers func() []string) { e.poison.EnableGossip(e.pool, peers) }

// RunPoisonGossip spreads crash records until the context ends.
func (e *Entry) RunPoisonGossip(ctx context.Context) { e.poison.Run(ctx) }

// receiveCrashRecords merges the crash records of another process.
func (e *Entry) receiveCrashRecords(params []byte) error {
	m, err := peer.Decode[wire.CrashRecordList](params)
	if err == nil {
		e.poison.Receive(m.Records)
		e.poison.ReceiveReports(m.Reports)
	}
	return err
}

// holderAddresses returns the addresses of the agents whose endpoints hold a model.
func (e *Entry) holderAddresses(model string) []string {
	var out []string
	for _, ep := range e.view.Load().modelEndpoints[model] {
		out = append(out, ep.Address)
	}
	return out
}

// fingerprint returns the hash of the request. It is computed once, because a body may be
// 1 MB in size; the body must not change afterwards.
func (r *request) fingerprint() string {
	if r.cachedFingerprint == "" {
		r.cachedFingerprint = ident.Fingerprint(r.group, r.model, r.body)
	}
	return r.cachedFingerprint
}

// rejectPoison returns an error for a request that is blocked because it crashes engines.
func (e *Entry) rejectPoison(req *request) *fault.Error {
	if req.kind == wire.KindService || e.poison.Verdict(req.fingerprint()) != poison.Blocked && !e.rejectParts(req) {
		return nil
	}
	return fault.New(fault.Invalid, fault.CodeCrashesEngines, "the request crashes the engines that run it and is not run again", "change the request").WithOutcome(fault.OutcomeNotRun)
}

// rejectParts reports whether a request is rejected because one of its messages crashes engines. One that
// has run on trial isn't run again.
func (e *Entry) rejectParts(req *request) bool {
	if req.trial {
		return true
	}
	blocked, trial := e.poison.JudgeParts(req.messageKeys)
	req.trial = trial
	return blocked
}

// messageKeys returns the keys of a chat's messages, each by its own content and the model
// alone, so that a message that crashes engines is known in every chat.
func messageKeys(model string, parts []prefix.Part) []uint64 {
	out := make([]uint64, 0, len(parts))
	for _, p := range parts {
		d := xxhash.New()
		_, _ = d.WriteString(p.Role + "\x00" + model + "\x00")
		_, _ = d.Write(p.Text)
		out = append(out, d.Sum64())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// crashInterval divides time: all requests that an endpoint loses within one interval were lost
// in one crash, because an engine takes about as long to start again.
const crashInterval = 2 * time.Second

// recordParts records what an attempt tells of the messages of its request: answered is set if
// it had an item.
func (e *Entry) recordParts(req *request, endpoint string, res result, answered bool) {
	switch {
	case len(req.messageKeys) == 0:
	case answered:
		e.poison.RecordPartAnswer(req.messageKeys)
	case res.err != nil && res.err.Code == fault.CodeEngineCrashed:
		crash := endpoint + "/" + strconv.FormatInt(time.Now().UnixNano()/int64(crashInterval), 36)
		e.poison.RecordPartCrash(req.messageKeys, xxhash.Sum64String(crash), req.trial)
	}
}
