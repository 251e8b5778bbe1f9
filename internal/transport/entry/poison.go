package entry

import (
	"context"

	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/transport/peer"
)

// EnablePoisonGossip lets the entry hear of suspects and pass them on.
func (e *Entry) EnablePoisonGossip(peers func() []string) { e.suspects.EnableGossip(e.pool, peers) }

// RunPoisonGossip spreads suspicions until the context ends.
func (e *Entry) RunPoisonGossip(ctx context.Context) { e.suspects.Run(ctx) }

// suspected takes what another process knows of suspects.
func (e *Entry) suspected(params []byte) error {
	m, err := peer.Decode[wire.CrashRecordList](params)
	if err == nil {
		e.suspects.Receive(m.Records)
	}
	return err
}

// holderAddresses returns the addresses of the agents that hold a model.
func (e *Entry) holderAddresses(model string) []string {
	var out []string
	for _, ep := range e.view.Load().byModel[model] {
		out = append(out, ep.Address)
	}
	return out
}

// fingerprint returns the hash of the request; it is computed once, because a body may
// have a megabyte. The body must not change afterwards.
func (r *request) fingerprint() string {
	if r.hash == "" {
		r.hash = ident.Fingerprint(r.group, r.model, r.body)
	}
	return r.hash
}

// refusePoison returns the refusal of a request that crashes engines.
func (e *Entry) refusePoison(req *request) *fault.Error {
	if req.kind == wire.KindService || e.suspects.Verdict(req.fingerprint()) != poison.Blocked {
		return nil
	}
	return fault.New(fault.Invalid, fault.CodeCrashesEngines, "the request crashes the engines that run it and is not run again", "change the request").WithOutcome(fault.OutcomeNotRun)
}
