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

// laggingHosts is a host list that shows the host "self" as leaving from a given time on.
type laggingHosts struct{ leavesAt time.Time }

func (l laggingHosts) List(context.Context) ([]store.Host, error) {
	state := store.HostLive
	if !time.Now().Before(l.leavesAt) {
		state = store.HostLeaving
	}
	return []store.Host{{ID: "other", State: store.HostLeaving}, {ID: "self", State: state}}, nil
}

// TestLeaveWhenListed guards against a process that takes longer than the 3 s in which new
// requests may still arrive to notice that the host list shows it as leaving.
func TestLeaveWhenListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		at := time.Now().Add(10 * time.Second)
		b := base{members: member.NewWatcher(laggingHosts{at}, time.Second, log.WithField("test", t.Name()))}
		go b.members.Run(ctx)
		left := make(chan time.Time, 1)
		go b.leaveWhenListed(ctx, "self", time.Second, func() { left <- time.Now() })
		if d := (<-left).Sub(at); d < 0 || d > 3*time.Second {
			t.Errorf("left %s after the host list showed the host as leaving", d)
		}
		cancel()
		synctest.Wait()
	})
}
