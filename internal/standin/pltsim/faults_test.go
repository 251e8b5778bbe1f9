package pltsim

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilhead/internal/coordination/store"
)

func newPlatform() *Platform {
	f := &Faults{}
	return &Platform{Faults: f, Table: NewTable(f), Objects: NewObjects(f), Weights: NewWeights(f, 1000, 8), Hosts: NewHosts(f, 0)}
}

// callFaults calls each service once and returns the faults seen, each as "service fault".
func (p *Platform) callFaults(t *testing.T) string {
	out := ""
	for name, call := range map[Service]func() error{
		ServiceTable: func() error {
			_, err := p.Table.Commit(t.Context(), store.Txn{Writes: []store.Write{{Key: "k"}}})
			return err
		},
		ServiceObjects: func() error { return p.Objects.Put(t.Context(), "o", nil) },
		ServiceWeights: func() error {
			rc, err := p.Weights.Open(t.Context(), "m")
			if err == nil {
				rc.Close()
			}
			return err
		},
		ServiceHosts: func() error { _, err := p.Hosts.List(t.Context()); return err },
	} {
		began := time.Now()
		err := call()
		switch {
		case err != nil && strings.Contains(err.Error(), "loses"):
			out += string(name) + " lost "
		case err != nil:
			out += string(name) + " away "
		case time.Since(began) > 100*time.Millisecond:
			out += string(name) + " slow "
		}
	}
	return strings.TrimSpace(out)
}

// TestOwnFaults guards against a fault of one service that affects another, and against calls
// or schedules that fail to start or end a fault.
func TestOwnFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform()
		post := func(path string, want int) {
			t.Helper()
			w := httptest.NewRecorder()
			if p.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/standin/"+path, nil)); w.Code != want {
				t.Errorf("%s: status %d, want %d", path, w.Code, want)
			}
		}
		check := func(what, want string) {
			t.Helper()
			if got := p.callFaults(t); got != want {
				t.Errorf("%s: %q, want %q", what, got, want)
			}
		}
		for _, s := range services {
			for _, c := range [][3]string{{"away/true", "away/false", "away"}, {"delay/1s", "delay/0s", "slow"}} {
				post(c[0]+"?service="+string(s), http.StatusOK)
				check(c[0], string(s)+" "+c[2])
				post(c[1]+"?service="+string(s), http.StatusOK)
			}
			p.Faults.SetSchedules([]Schedule{{Service: s, Fault: FaultUnavailable, From: time.Minute, Duration: time.Second}})
			check("before the schedule", "")
			time.Sleep(time.Minute)
			check("scheduled", string(s)+" away")
			time.Sleep(time.Second)
			check("after the schedule", "")
		}
		post("lose_replies/1?service=table", http.StatusOK)
		check("one reply", "table lost")
		check("next reply", "")
		p.Faults.SetSchedules([]Schedule{{Service: ServiceTable, Fault: FaultLostReply, LossProbability: 0.25, Seed: 20261203}})
		lost := 0
		for range 400 {
			lost += strings.Count(p.callFaults(t), "table lost")
		}
		if row, _ := p.Table.Get(t.Context(), "k"); lost < 80 || lost > 120 || row.Version < 400 {
			t.Errorf("%d replies of 400 lost; the row is at version %d", lost, row.Version)
		}
		post("away/perhaps", http.StatusBadRequest)
		post("away/true?service=tables", http.StatusNotFound)
	})
}

// TestSchedule guards against faults at other times than their settings say, and against
// times that differ between runs with one seed.
func TestSchedule(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		schedule Schedule
		want     string // seconds at which the fault is active
	}{
		{Schedule{From: 17 * s}, "17 18 19"},
		{Schedule{From: 2 * s, Duration: 3 * s}, "2 3 4"},
		{Schedule{From: s, Duration: 2 * s, Every: 8 * s}, "1 2 9 10 17 18"},
		{Schedule{Duration: 2 * s, Every: 10 * s, MaxJitter: 8 * s, Seed: 1}, "5 6 18 19"},
		{Schedule{Duration: 2 * s, Every: 10 * s, MaxJitter: 8 * s, Seed: 2}, "6 7 11 12"},
	} {
		got := ""
		for i := range 20 {
			if tc.schedule.active(time.Duration(i) * s) {
				got += fmt.Sprint(" ", i)
			}
		}
		if got != " "+tc.want {
			t.Errorf("%+v is active at%s, want %s", tc.schedule, got, tc.want)
		}
	}
}

// TestLag guards against lagging reads that mix the states of two times or return that of a
// wrong time, and against a host list that hides changes that were visible.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, p := t.Context(), newPlatform()
		p.Faults.SetLag(0) // from now on past states are kept
		const lag = 10 * time.Second
		for _, v := range []string{"a", "b", "c"} {
			txn := store.Txn{Writes: []store.Write{{Key: "x", Value: []byte(v)}, {Key: "only-" + v}}}
			if v == "c" {
				txn.Writes = append(txn.Writes, store.Write{Key: "only-a", Delete: true})
			}
			_, _ = p.Table.Commit(ctx, txn)
			_ = p.Objects.Put(ctx, "o", []byte(v))
			p.Hosts.Set(store.Host{ID: v})
			time.Sleep(lag)
		}
		hosts := func() int { list, _ := p.Hosts.List(ctx); return len(list) }
		for _, tc := range []struct {
			lag  time.Duration
			want string
		}{
			{0, "3 only-b only-c x, c, c, hosts 3"},
			{lag + time.Second, "2 only-a only-b x, b, b, hosts 3"},
			{3*lag + time.Second, "0, , , hosts 3"},
			{lag - time.Second, "3 only-b only-c x, c, c, hosts 3"},
		} {
			p.Faults.SetLag(tc.lag)
			snap, _ := p.Table.Read(ctx, "")
			got := fmt.Sprint(snap.Version)
			for _, r := range snap.Rows {
				got += " " + r.Key
			}
			x, _ := p.Table.Get(ctx, "x")
			o, _ := p.Objects.Get(ctx, "o")
			if got += fmt.Sprintf(", %s, %s, hosts %d", x.Value, o, hosts()); got != tc.want {
				t.Errorf("with a lag of %s: %q, want %q", tc.lag, got, tc.want)
			}
		}
		p.Hosts.Remove("a")
		time.Sleep(lag - 2*time.Second)
		if before := hosts(); before != 3 {
			t.Errorf("%d hosts before the lag is over", before)
		}
		time.Sleep(time.Second)
		if after := hosts(); after != 2 {
			t.Errorf("%d hosts after the lag", after)
		}
	})
}
