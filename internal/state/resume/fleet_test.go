package resume

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilhead/internal/state/fleet"
)

const (
	simStep     = 100 * time.Millisecond
	simGateways = 3
)

// simGateway is a gateway of a simulated deployment.
type simGateway struct {
	history   *History
	records   *Records
	view      map[string]fleet.Endpoint
	conf      Confirmation
	connected bool
	unsettled bool
	// downUntil is when the gateway starts again, or zero.
	downUntil time.Time
}

// simStream is a stream that broke, or that still runs.
type simStream struct {
	key         uint64
	version     string
	lastEventAt time.Time
}

// simFleet is a deployment with two versions of a service that come and go.
type simFleet struct {
	t        *rapid.T
	now      time.Time
	gateways []*simGateway
	// registered are the versions in the store.
	registered map[string]bool
	row        Row
	// registeredAt is when a version was last registered that wasn't before.
	registeredAt time.Time
	keepers      *Records
	// stored are the records in the store, which get there before a stream's first event while one of
	// the gateways reaches it.
	stored  *Records
	streams []*simStream
	begun   int
	// resumed and possible count the resumptions and those that an endpoint of the version could
	// have taken while the record was at a keeper.
	resumed, possible int
	// implied counts the resumptions without a record for which a version was implied.
	implied int
	// since and goneAt are when versions last came and went.
	since, goneAt map[string]time.Time
}

func (f *simFleet) start(g *simGateway) {
	*g = simGateway{history: NewHistory(f.now), records: NewRecords(), connected: true, downUntil: g.downUntil}
	row := Row{}
	for s, versions := range f.row {
		row[s] = map[string]RowEntry{}
		for v, e := range versions {
			if e.Present {
				e.GoneFor = 0
			} else {
				e.GoneFor = f.now.Sub(f.goneAt[v])
			}
			e.CameFor = max(time.Millisecond, f.now.Sub(f.since[v]))
			row[s][v] = e
		}
	}
	g.history.Restore(row)
	f.read(g)
}

// read makes a gateway read the store; a gap is recorded as the watcher does.
func (f *simFleet) read(g *simGateway) {
	if !g.conf.At.IsZero() && f.now.Sub(g.conf.At) > MaxViewAge {
		g.conf.GapAt = f.now
	}
	if !g.conf.At.IsZero() && f.now.Sub(g.conf.At) > MaxShortGap {
		g.conf.LongGapAt = f.now
	}
	g.conf.At, g.view = f.now, map[string]fleet.Endpoint{}
	for v := range f.registered {
		g.view[v] = fleet.Endpoint{ID: v, Service: "s", SoftwareVersion: v}
	}
	g.history.Observe(g.view, f.now)
}

func (f *simFleet) put(g *simGateway, rec Record) {
	g.records.Put(rec, f.now)
	if v, settled := g.history.Settled("s", g.conf, f.now); !settled || v != rec.Version {
		f.keepers.Put(rec, f.now)
		if f.storeReached() {
			f.stored.Put(rec, f.now)
		}
	}
}

// storeReached reports whether a gateway reaches the store, and so can keep records for the others.
func (f *simFleet) storeReached() bool {
	return slices.ContainsFunc(f.gateways, func(g *simGateway) bool { return g.connected && g.history != nil })
}

// share sends keepers the records of a gateway at which the service becomes unsettled.
func (f *simFleet) share(g *simGateway) {
	_, settled := g.history.Settled("s", g.conf, f.now)
	if !settled && !g.unsettled {
		for _, rec := range g.records.OfService("s", f.now) {
			f.keepers.Put(rec, f.now)
			if f.storeReached() {
				f.stored.Put(rec, f.now)
			}
		}
	}
	g.unsettled = !settled
}

func (f *simFleet) setRegistered(v string, registered bool) {
	if f.registered[v] == registered {
		return
	}
	// The planner writes the row at once.
	if registered {
		f.registered[v], f.registeredAt = true, f.now
		if at, ok := f.goneAt[v]; !ok || f.now.Sub(at) >= SettleAfter {
			f.since[v] = f.now
		}
		f.row["s"][v] = RowEntry{Present: true}
		return
	}
	f.goneAt[v] = f.now
	delete(f.registered, v)
	f.row["s"][v] = RowEntry{}
}

// begin begins a stream at a version that the gateway sees and that still serves.
func (f *simFleet) begin(g *simGateway, v string) {
	if _, seen := g.view[v]; !seen || !f.registered[v] {
		return
	}
	if !f.storeReached() && g.history.Came("s", v, f.now) {
		// Not covered (docs/design/versions.md): the first event waits for the store for a quarter of a
		// second only.
		return
	}
	f.begun++
	s := &simStream{KeyOf("s", fmt.Sprint("r", f.begun)), v, f.now}
	f.streams = append(f.streams, s)
	f.put(g, Record{Key: s.key, Service: "s", Version: v})
}

// resume resumes a stream at a gateway, if its caller still would; named is set if it names it.
func (f *simFleet) resume(g *simGateway, s *simStream, named bool) {
	if f.now.Sub(s.lastEventAt) >= RecordTTL {
		return
	}
	if !named && f.now.Sub(f.registeredAt) <= MaxViewAge {
		// Not covered (docs/design/versions.md): without a name nothing tells of a version that this
		// gateway is about to read.
		return
	}
	e := Evidence{Service: "s", Mention: Named{"r"}, Source: NoRecord}
	if !named {
		e.Mention = Missing{}
	} else if rec, ok := g.records.Get(s.key, f.now); ok {
		e.Record, e.Source = rec, OwnRecord
	} else if rec, ok := f.keepers.Get(s.key, f.now); ok {
		e.Record, e.Source = rec, KeeperRecord
	} else if rec, ok := f.stored.Get(s.key, f.now); ok && g.connected {
		e.Record, e.Source = rec, StoreRecord
	}
	_, seen := g.view[s.version]
	serves := seen && f.registered[s.version]
	if serves {
		f.possible++
	}
	e.SettledVersion, e.Settled = g.history.Settled("s", g.conf, f.now)
	e.ImpliedVersion, e.Implied = g.history.Implied("s", g.conf, f.now)
	e.Implied = e.Implied && named && g.connected
	if !e.Settled && !e.Recorded() && e.Implied {
		f.implied++
	}
	d, ok := Decide(e).(Continue)
	if !ok {
		return
	}
	if e.Source != NoRecord {
		f.put(g, e.Record)
	}
	if _, seen := g.view[d.Version]; !seen || !f.registered[d.Version] {
		return
	}
	if d.Version != s.version {
		f.t.Fatalf("a stream of version %s continues at version %s (record %v, settled %v) at %v", s.version, d.Version, e.Source, e.Settled, f.now.Sub(start))
	}
	f.resumed++
	s.lastEventAt = f.now
	if named {
		f.put(g, Record{Key: s.key, Service: "s", Version: s.version})
	}
}

// TestNoStreamJoinsVersions guards against a stream that joins two versions, whatever gateways are lost, cut off from the store or started, and however versions come and go.
func TestNoStreamJoinsVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &simFleet{t: t, now: start, registered: map[string]bool{}, row: Row{"s": {}}, keepers: NewRecords(), stored: NewRecords(), since: map[string]time.Time{}, goneAt: map[string]time.Time{}}
		f.setRegistered("one", true)
		for range simGateways {
			g := &simGateway{}
			f.gateways = append(f.gateways, g)
			f.start(g)
		}
		gateway := rapid.SampledFrom(f.gateways)
		version := rapid.SampledFrom([]string{"one", "two"})
		for range 60 {
			// Long pauses let records expire and services settle.
			steps := rapid.SampledFrom([]int{1, 3, 10, 40, 160}).Draw(t, "pause")
			for range steps {
				f.now = f.now.Add(simStep)
				for i, g := range f.gateways {
					switch {
					case f.now.Before(g.downUntil):
						continue
					case g.history == nil:
						f.start(g)
					case g.connected && int(f.now.Sub(start)/simStep)%6 == 2*i:
						f.read(g)
					}
					f.share(g)
				}
			}
			g := gateway.Draw(t, "gateway")
			switch rapid.SampledFrom([]string{"begin", "begin", "resume", "resume", "resume", "register", "unregister", "kill", "kill all", "power loss", "cut", "join"}).Draw(t, "event") {
			case "begin":
				if g.history != nil {
					f.begin(g, version.Draw(t, "version"))
				}
			case "resume":
				if g.history != nil && len(f.streams) > 0 {
					f.resume(g, rapid.SampledFrom(f.streams).Draw(t, "stream"), rapid.SampledFrom([]bool{true, true, false}).Draw(t, "named"))
				}
			case "register":
				f.setRegistered(version.Draw(t, "version"), true)
			case "unregister":
				f.setRegistered(version.Draw(t, "version"), false)
			case "kill":
				*g = simGateway{downUntil: f.now.Add(time.Second)}
			case "power loss":
				f.keepers = NewRecords()
				fallthrough
			case "kill all":
				for _, g := range f.gateways {
					*g = simGateway{downUntil: f.now.Add(time.Second)}
				}
			case "cut":
				g.connected = false
			case "join":
				g.connected = true
			}
		}
	})
}

// TestResumptionsOfServingVersion guards against resumptions that are rejected although endpoints of their version serve (rule LOST: at least half as often as new streams begin), while two versions serve, and while all gateways are killed at once.
func TestResumptionsOfServingVersion(t *testing.T) {
	for _, kill := range []bool{false, true} {
		f := &simFleet{now: start, registered: map[string]bool{}, row: Row{"s": {}}, keepers: NewRecords(), stored: NewRecords(), since: map[string]time.Time{}, goneAt: map[string]time.Time{}}
		f.setRegistered("one", true)
		f.setRegistered("two", true)
		for range simGateways {
			g := &simGateway{}
			f.gateways = append(f.gateways, g)
			f.start(g)
		}
		for i := range 600 {
			f.now = f.now.Add(simStep)
			for _, g := range f.gateways {
				f.read(g)
				f.share(g)
			}
			f.begin(f.gateways[i%simGateways], []string{"one", "two"}[i%2])
			if kill && i == 300 {
				for _, g := range f.gateways {
					f.start(g)
				}
			}
			if i >= 10 {
				f.resume(f.gateways[(i+1)%simGateways], f.streams[i-10], true)
			}
		}
		if f.possible < 12 || f.resumed < f.possible/2 {
			t.Errorf("killed %v: %d of %d resumptions went on, want half", kill, f.resumed, f.possible)
		}
		t.Logf("killed %v: %d of %d resumptions went on", kill, f.resumed, f.possible)
	}
}

// TestStreamsOfSettledService guards against streams of a settled service that can't be taken up because a second version came when their gateway was gone (rule LOST), and against streams of either version that go on at the other.
func TestStreamsOfSettledService(t *testing.T) {
	const streams = 24
	for _, lost := range []string{"one gateway", "all gateways", "all hosts"} {
		for _, comes := range []float64{-1, -0.4, 0, 0.4, 1, 3, 6} {
			for _, resumed := range []float64{0.5, 1, 2, 4, 8} {
				f := &simFleet{now: start, registered: map[string]bool{}, row: Row{"s": {}}, keepers: NewRecords(), stored: NewRecords(), since: map[string]time.Time{}, goneAt: map[string]time.Time{}}
				f.setRegistered("one", true)
				for range simGateways {
					g := &simGateway{}
					f.gateways = append(f.gateways, g)
					f.start(g)
				}
				step := func(until float64) {
					for f.now.Before(at(until)) {
						f.now = f.now.Add(simStep)
						for i, g := range f.gateways {
							if f.now.Before(g.downUntil) {
								continue
							}
							if g.history == nil {
								f.start(g)
							}
							if int(f.now.Sub(start)/simStep)%6 == 2*i {
								f.read(g)
							}
							f.share(g)
						}
						if f.now.Equal(at(100 + comes)) {
							f.setRegistered("two", true)
						}
					}
				}
				step(98)
				for range streams {
					f.begin(f.gateways[0], "one")
				}
				step(99.9)
				for range streams {
					f.begin(f.gateways[0], "two")
				}
				step(100)
				gone := f.gateways[:1]
				if lost != "one gateway" {
					gone = f.gateways
				}
				for _, g := range gone {
					*g = simGateway{connected: true, downUntil: at(100.4)}
				}
				if lost == "all hosts" {
					f.keepers = NewRecords()
				}
				step(100 + resumed)
				for i, s := range f.streams {
					version, ok := f.continuesAt(f.gateways[1+i%2], s)
					if ok && version != s.version {
						t.Fatalf("%s lost, version two comes at %v s: a stream of version %s taken up at %v s goes on at version %s", lost, comes, s.version, resumed, version)
					}
					if ok {
						f.resumed++
					}
				}
				if len(f.streams) < 12 || f.resumed*2 < len(f.streams) {
					t.Errorf("%s lost, version two comes at %v s: %d of %d streams taken up at %v s go on, want half", lost, comes, f.resumed, len(f.streams), resumed)
				}
			}
		}
	}
}

// continuesAt returns the version at which a gateway would continue a stream that its caller names.
func (f *simFleet) continuesAt(g *simGateway, s *simStream) (version string, ok bool) {
	e := Evidence{Service: "s", Mention: Named{"r"}, Source: NoRecord}
	if rec, ok := g.records.Get(s.key, f.now); ok {
		e.Record, e.Source = rec, OwnRecord
	} else if rec, ok := f.keepers.Get(s.key, f.now); ok {
		e.Record, e.Source = rec, KeeperRecord
	} else if rec, ok := f.stored.Get(s.key, f.now); ok {
		e.Record, e.Source = rec, StoreRecord
	}
	e.SettledVersion, e.Settled = g.history.Settled("s", g.conf, f.now)
	e.ImpliedVersion, e.Implied = g.history.Implied("s", g.conf, f.now)
	d, ok := Decide(e).(Continue)
	return d.Version, ok
}
