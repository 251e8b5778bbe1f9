package control

import (
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
)

// crashRecordRelays is the number of keepers that relay a crash record to all gateways; one is
// enough.
const crashRecordRelays = 3

// crashRecordResends are the delays after which a crash record is sent again, because
// datagrams may be lost.
var crashRecordResends = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond}

// BroadcastCrashRecord sends the crash record of a suspect request to the other gateways, relayed
// by some keepers.
func (p *Plane) BroadcastCrashRecord(rec poison.CrashRecord) {
	p.sendCrashRecord(rec)
	for _, delay := range crashRecordResends {
		time.AfterFunc(delay, func() { p.sendCrashRecord(rec) })
	}
}

func (p *Plane) sendCrashRecord(rec poison.CrashRecord) {
	v := p.view()
	sent := 0
	for _, s := range p.States() {
		spec := p.engineSpec(v, s.Endpoint)
		if spec == nil || !s.StatusSupersedes || sent == crashRecordRelays {
			continue
		}
		sent++
		p.send(s.Endpoint, &dgram.KeeperRequest{EngineConfigHash: p.engineConfigHash(v.Config.Version, s.Service, spec), CrashRecords: []dgram.CrashRecord{toWire(rec)}})
	}
}

func toWire(rec poison.CrashRecord) dgram.CrashRecord {
	w := dgram.CrashRecord{Fingerprint: rec.Fingerprint, Model: rec.Model}
	for _, c := range rec.Crashes {
		if c.Level == poison.LevelCleared {
			w.ClearedAttempts = append(w.ClearedAttempts, c.ID)
			continue
		}
		w.CrashedAttempts = append(w.CrashedAttempts, c.ID)
	}
	return w
}

func fromWire(w dgram.CrashRecord) poison.CrashRecord {
	rec := poison.CrashRecord{Fingerprint: w.Fingerprint, Model: w.Model}
	for _, id := range w.CrashedAttempts {
		rec.Crashes = append(rec.Crashes, poison.Crash{ID: id, Level: poison.LevelShared})
	}
	for _, id := range w.ClearedAttempts {
		rec.Crashes = append(rec.Crashes, poison.Crash{ID: id, Level: poison.LevelCleared})
	}
	return rec
}
