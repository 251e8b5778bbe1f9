package intake

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// fixture drives a ledger with a clock of its own. A connection that is shed gives back at once what
// it holds, as its goroutine does.
type fixture struct {
	ledger *Ledger

	mu       sync.Mutex
	now      time.Time
	accounts map[string]*Account
	shed     []string
}

func newFixture(l Limits) *fixture {
	f := &fixture{now: time.Unix(1000, 0), accounts: map[string]*Account{}}
	f.ledger = New(l, func() time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.now
	})
	return f
}

func (f *fixture) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fixture) open(name string) error {
	a, err := f.ledger.Open(func(p Phase, stalled bool) {
		f.mu.Lock()
		f.shed = append(f.shed, fmt.Sprintf("%s in %s, stalled %t", name, p, stalled))
		a := f.accounts[name]
		f.mu.Unlock()
		a.Close()
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accounts[name] = a
	return nil
}

// do runs one command of a golden file on an account.
func (f *fixture) do(cmd string, a *Account, n int64) error {
	switch cmd {
	case "begin":
		return a.Begin()
	case "head":
		return a.ReserveHead(n)
	case "body":
		if err := a.Enter(Body); err != nil {
			return err
		}
		return a.ReserveBody(n)
	case "announce":
		return a.Announce(n)
	case "more":
		return a.ReserveBody(n)
	case "progress":
		a.Progress(int(n))
	case "run":
		return a.Enter(Running)
	case "answer":
		return a.Enter(Answering)
	case "linger":
		a.Linger()
	case "end":
		a.End()
	case "close":
		a.Close()
	default:
		return fmt.Errorf("unknown command %s", cmd)
	}
	return nil
}

// TestLedger guards against clients that are refused while there is room, and against an order of shedding in which those who make progress go before those who don't.
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var f *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "limits" {
				var l Limits
				d.ScanArgs(t, "bytes", &l.Bytes)
				d.ScanArgs(t, "large", &l.LargeBytes)
				d.ScanArgs(t, "connections", &l.Connections)
				l.SmallBody, l.ConnectionBytes, l.RequestBytes, l.MinRate, l.StallTime = 10, 2, 5, 10, time.Second
				f = newFixture(l)
				return ""
			}
			var out []string
			for _, line := range strings.Split(d.Input, "\n") {
				w := strings.Fields(line)
				var n int64
				if len(w) > 2 {
					if _, err := fmt.Sscan(w[2], &n); err != nil {
						t.Fatal(err)
					}
				}
				var err error
				switch w[0] {
				case "wait":
					dur, perr := time.ParseDuration(w[1])
					if perr != nil {
						t.Fatal(perr)
					}
					f.advance(dur)
				case "open":
					err = f.open(w[1])
				default:
					err = f.do(w[0], f.accounts[w[1]], n)
				}
				if err != nil {
					out = append(out, line+": "+err.Error())
				}
			}
			f.mu.Lock()
			for _, s := range f.shed {
				out = append(out, "shed "+s)
			}
			f.shed = nil
			f.mu.Unlock()
			s := f.ledger.State()
			out = append(out, fmt.Sprintf("%d bytes, %d in large bodies, %d connections", s.Bytes, s.LargeBytes, s.Connections))
			return strings.Join(out, "\n")
		})
	})
}

// TestLedgerGivesBack guards against memory that stays counted after a request has ended in any way.
func TestLedgerGivesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Bytes: 200, LargeBytes: 120, Connections: 8, SmallBody: 10, ConnectionBytes: 2, RequestBytes: 5, MinRate: 10, StallTime: time.Second}
		f := newFixture(l)
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			f.mu.Lock()
			a := f.accounts[name]
			f.mu.Unlock()
			if a == nil || a.closed {
				_ = f.open(name)
				continue
			}
			cmds := []string{"begin", "announce", "head", "body", "more", "run", "answer", "linger", "end", "close"}
			_ = f.do(rapid.SampledFrom(cmds).Draw(t, "command"), a, rapid.Int64Range(1, 80).Draw(t, "bytes"))
			f.advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if s := f.ledger.State(); s.Bytes > l.Bytes || s.LargeBytes > l.LargeBytes || s.Bytes < 0 || s.LargeBytes < 0 {
				t.Fatalf("%+v exceeds %+v", s, l)
			}
		}
		f.mu.Lock()
		accounts := slices.Collect(func(yield func(*Account) bool) {
			for _, a := range f.accounts {
				if !yield(a) {
					return
				}
			}
		})
		f.mu.Unlock()
		for _, a := range accounts {
			a.Close()
		}
		if s := f.ledger.State(); s != (State{}) {
			t.Fatalf("%+v is still counted", s)
		}
	})
}
