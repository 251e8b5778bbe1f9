package plat_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/pltsim"
)

// TestListSince guards against a membership view that misses a change, or keeps a removed
// host, when polls read only what changed since the last one, also across restarts of the
// host list.
func TestListSince(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	faults := &pltsim.Faults{}
	p := &pltsim.Platform{Faults: faults, Table: pltsim.NewTable(faults), Hosts: pltsim.NewHosts(faults, 0)}
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	c := plat.New(plat.Settings{Hosts: srv.URL, Timeout: time.Minute}, srv.Client())
	w := member.NewWatcher(c, time.Second, log.WithField("test", t.Name()))
	r := rand.New(rand.NewPCG(940, 1))
	for step := range 200 {
		if r.IntN(50) == 0 {
			p.Hosts = pltsim.NewHosts(faults, 0)
		}
		for range r.IntN(3) {
			h := store.Host{ID: fmt.Sprint("h", r.IntN(6)), State: store.HostLive}
			switch r.IntN(3) {
			case 0:
				p.Hosts.Remove(h.ID)
			case 1:
				h.State = store.HostLeaving
				fallthrough
			default:
				p.Hosts.Set(h)
			}
		}
		if err := w.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		want, err := p.Hosts.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := w.View().Peers(""); !slices.Equal(got, want) {
			t.Fatalf("step %d: view %v, want %v", step, got, want)
		}
	}
}
