package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
)

// Relay reads the configuration that another process has in force.
type Relay interface {
	// ReadConfig returns the configuration of the process at an address as the store held it, or nil
	// if its version isn't above newerThan; it ends by itself once no more of it arrives.
	ReadConfig(ctx context.Context, address string, newerThan uint64) ([]byte, error)
}

// relayDelay is the time in which the store should have begun to answer with a configuration that
// another process already has; it answers in milliseconds, and 60 times as slowly at worst.
const relayDelay = 400 * time.Millisecond

// SetRelay sets the relay of configurations that the store doesn't hand out, and a function that
// returns the addresses of processes which read them from the store for others. It must be called
// before Run.
func (w *Watcher) SetRelay(r Relay, readers func() []string) { w.relay, w.readers = r, readers }

const (
	// readerAfter is the number of failed reads of the configuration in a row after which another
	// process is asked to read it: the store may refuse this host, or all gateways, and serve others.
	readerAfter = 3
	// readerInterval is the pause between two such requests.
	readerInterval = time.Second
)

// askReader asks another process to read the configuration from the store.
func (w *Watcher) askReader(ctx context.Context) {
	if w.relay == nil || time.Since(w.readerAskedAt) < readerInterval {
		return
	}
	list := w.readers()
	if len(list) == 0 {
		return
	}
	w.readerAskedAt = time.Now()
	if w.readRelayed(ctx, list[rand.IntN(len(list))]) {
		w.update(func(v *View) { v.ConfigConfirmedAt = w.readerAskedAt })
	}
}

// wantRelay asks for the configuration of the process that observed a newer one; the caller
// holds mu.
func (w *Watcher) wantRelay(from string) {
	if from == "" {
		return
	}
	w.relayFrom = from
	select {
	case w.relayWanted <- struct{}{}:
	default:
	}
}

// followRelay reads newer configurations from the processes that have them while the store
// doesn't hand them out. Without it a process that the store refuses would answer by the old one
// for as long as that lasts.
func (w *Watcher) followRelay(ctx context.Context) {
	for w.relay != nil {
		select {
		case <-w.relayWanted:
		case <-ctx.Done():
			return
		}
		sleep(ctx, relayDelay)
		w.mu.Lock()
		v, from := w.view.Load(), w.relayFrom
		w.mu.Unlock()
		if w.configArrival.Continues(arrivalStall) {
			// A second transfer over the same link would only delay the store's.
			continue
		}
		if v.HasConfig && v.NewestConfig > v.Config.Version && ctx.Err() == nil {
			w.readRelayed(ctx, from)
		}
	}
}

// readRelayed reads the configuration of another process and takes it over if it is newer; it
// reports whether the process answered.
func (w *Watcher) readRelayed(ctx context.Context, from string) bool {
	data, err := w.relay.ReadConfig(ctx, from, w.View().Config.Version)
	if err == nil && data == nil {
		return true
	}
	var ch ConfigChange
	if err == nil {
		ch, err = w.src.DecodeConfig(data)
	}
	if err != nil {
		w.log.WithError(err).WithField("from", from).Warn("the newer configuration could not be read from another process")
		return false
	}
	news := false
	w.update(func(v *View) { news = w.takeConfig(v, ch, logrus.Fields{"source": from}) })
	if news {
		w.logSkipped(ch)
	}
	return true
}

// takeConfig puts a configuration into force in a view if it is newer, logs that with further
// fields and reports whether it did.
func (w *Watcher) takeConfig(v *View, ch ConfigChange, fields logrus.Fields) bool {
	if !ch.Changed || v.HasConfig && ch.Config.Version <= v.Config.Version {
		return false
	}
	if v.HasConfig {
		fields["confirmed_age_ms"] = time.Since(v.ConfigConfirmedAt).Milliseconds()
	}
	w.log.WithFields(fields).WithFields(logrus.Fields{"config": ch.Config.Version, "before": v.Config.Version}).Info("configuration in force")
	v.Config, v.ConfigData, v.HasConfig = ch.Config, ch.Data, true
	return true
}
