package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/member"
	"chervilhead/internal/coordination/store"
)

// lagging is a host list that shows a host as leaving after a lag.
type lagging struct{ at time.Time }

func (l lagging) List(context.Context) ([]store.Host, error) {
	state := store.HostLive
	if !time.Now().Before(l.at) {
		state = store.HostLeaving
	}
	return []store.Host{{ID: "other", State: store.HostLeaving}, {ID: "self", State: state}}, nil
}

// TestLeaveWhenListed guards against a process that does not notice, within the 3 s
// that new work may still arrive, that the host list shows it as leaving.
func TestLeaveWhenListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		at := time.Now().Add(10 * time.Second)
		b := base{members: member.NewWatcher(lagging{at}, time.Second, log.WithField("test", t.Name()))}
		go b.members.Run(ctx)
		left := make(chan time.Time, 1)
		go b.leaveWhenListed(ctx, "self", time.Second, func() { left <- time.Now() })
		if d := (<-left).Sub(at); d < 0 || d > 3*time.Second {
			t.Errorf("left %s after the host list said so", d)
		}
		cancel()
		synctest.Wait()
	})
}
