package control

import (
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
)

// relays is the number of keepers that pass a mark on to all gateways; one is enough.
const relays = 3

// markAgain are the times after which a mark is sent again, as datagrams may be lost.
var markAgain = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond}

// BroadcastCrashRecord tells the other gateways of a request that may crash endpoints, by way of some keepers.
func (d *Plane) BroadcastCrashRecord(m poison.CrashRecord) {
	d.sendMark(m)
	for _, wait := range markAgain {
		time.AfterFunc(wait, func() { d.sendMark(m) })
	}
}

func (d *Plane) sendMark(m poison.CrashRecord) {
	v := d.view()
	sent := 0
	for _, s := range d.States() {
		spec := d.engineOf(v, s.Endpoint)
		if spec == nil || !s.Reported || sent == relays {
			continue
		}
		sent++
		d.ask(s.Endpoint, &dgram.KeeperRequest{EngineConfigHash: d.specHash(v.Config.Version, s.Service, spec), CrashRecords: []dgram.CrashRecord{toWire(m)}})
	}
}

func toWire(m poison.CrashRecord) dgram.CrashRecord {
	w := dgram.CrashRecord{Fingerprint: m.Fingerprint, Model: m.Model}
	for _, c := range m.Crashes {
		if c.Level == poison.LevelCleared {
			w.ClearedAttempts = append(w.ClearedAttempts, c.ID)
			continue
		}
		w.CrashedAttempts = append(w.CrashedAttempts, c.ID)
	}
	return w
}

func fromWire(w dgram.CrashRecord) poison.CrashRecord {
	m := poison.CrashRecord{Fingerprint: w.Fingerprint, Model: w.Model}
	for _, id := range w.CrashedAttempts {
		m.Crashes = append(m.Crashes, poison.Crash{ID: id, Level: poison.LevelShared})
	}
	for _, id := range w.ClearedAttempts {
		m.Crashes = append(m.Crashes, poison.Crash{ID: id, Level: poison.LevelCleared})
	}
	return m
}
