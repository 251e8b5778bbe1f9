package control

import (
	"math/rand/v2"
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/fleet"
	"chervilhead/internal/state/poison"
)

// crashRecordRelays is the number of keepers that relay crash records to all gateways; one is
// enough.
const crashRecordRelays = 3

// crashRecordResends are the delays after which crash records are sent again, because
// datagrams may be lost and keepers may just have started.
var crashRecordResends = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second}

// BroadcastCrashRecords sends crash records to the other gateways, relayed by some keepers.
func (p *Plane) BroadcastCrashRecords(recs []poison.CrashRecord) {
	p.sendCrashRecords(recs)
	for _, delay := range crashRecordResends {
		time.AfterFunc(delay, func() { p.sendCrashRecords(recs) })
	}
}

func (p *Plane) sendCrashRecords(recs []poison.CrashRecord) {
	v := p.view()
	var relays []fleet.State
	for _, s := range p.States() {
		if p.engineSpec(v, s.Endpoint) != nil && s.StatusSupersedes {
			relays = append(relays, s)
		}
	}
	// Neighbours in the list may share a fault; other gateways pick others.
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	out := make([]dgram.CrashRecord, 0, len(recs))
	for _, rec := range recs {
		out = append(out, toWire(rec, time.Now()))
	}
	for _, s := range relays[:min(crashRecordRelays, len(relays))] {
		spec := p.engineSpec(v, s.Endpoint)
		p.send(s.Endpoint, &dgram.KeeperRequest{EngineConfigHash: p.engineConfigHash(v.Config.Version, s.Service, spec), CrashRecords: out})
	}
}

func toWire(rec poison.CrashRecord, now time.Time) dgram.CrashRecord {
	w := dgram.CrashRecord{Fingerprint: rec.Fingerprint, Model: rec.Model, Remaining: rec.ExpiresAt.Sub(now)}
	for _, c := range rec.Crashes {
		if c.Level == poison.LevelCleared {
			w.ClearedAttempts = append(w.ClearedAttempts, c.ID)
			continue
		}
		w.CrashedAttempts = append(w.CrashedAttempts, c.ID)
	}
	return w
}

func fromWire(w dgram.CrashRecord, now time.Time) poison.CrashRecord {
	rec := poison.CrashRecord{Fingerprint: w.Fingerprint, Model: w.Model, ExpiresAt: now.Add(w.Remaining)}
	for _, id := range w.CrashedAttempts {
		rec.Crashes = append(rec.Crashes, poison.Crash{ID: id, Level: poison.LevelShared})
	}
	for _, id := range w.ClearedAttempts {
		rec.Crashes = append(rec.Crashes, poison.Crash{ID: id, Level: poison.LevelCleared})
	}
	return rec
}
