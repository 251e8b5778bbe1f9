package desk

import (
	"time"

	"chervilhead/internal/protocol/beat"
	"chervilhead/internal/state/poison"
)

// relays is the number of keepers that pass a mark on to all gateways; one is enough.
const relays = 3

// markAgain are the times after which a mark is sent again, as datagrams may be lost.
var markAgain = []time.Duration{150 * time.Millisecond, 600 * time.Millisecond}

// Suspect tells the other gateways of a request that may crash endpoints, by way of some keepers.
func (d *Desk) Suspect(m poison.CrashRecord) {
	d.sendMark(m)
	for _, wait := range markAgain {
		time.AfterFunc(wait, func() { d.sendMark(m) })
	}
}

func (d *Desk) sendMark(m poison.CrashRecord) {
	v := d.view()
	sent := 0
	for _, s := range d.States() {
		spec := d.engineOf(v, s.Endpoint)
		if spec == nil || !s.Reported || sent == relays {
			continue
		}
		sent++
		d.ask(s.Endpoint, &beat.Ask{Engine: d.specHash(v.Config.Version, s.Service, spec), Marks: []beat.Mark{toWire(m)}})
	}
}

func toWire(m poison.CrashRecord) beat.Mark {
	w := beat.Mark{Fingerprint: m.Fingerprint, Model: m.Model}
	for _, c := range m.Crashes {
		if c.Level == poison.LevelCleared {
			w.Cleared = append(w.Cleared, c.ID)
			continue
		}
		w.Crashes = append(w.Crashes, c.ID)
	}
	return w
}

func fromWire(w beat.Mark) poison.CrashRecord {
	m := poison.CrashRecord{Fingerprint: w.Fingerprint, Model: w.Model}
	for _, id := range w.Crashes {
		m.Crashes = append(m.Crashes, poison.Crash{ID: id, Level: poison.LevelShared})
	}
	for _, id := range w.Cleared {
		m.Crashes = append(m.Crashes, poison.Crash{ID: id, Level: poison.LevelCleared})
	}
	return m
}
