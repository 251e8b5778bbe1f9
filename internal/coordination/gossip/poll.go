package gossip

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/state/jitter"
)

// Source reads the newest document of one kind from the table service; it returns
// an empty document if that is not newer than version have.
type Source func(ctx context.Context, have uint64) (Document, error)

// Poller copies newer documents from the table service into a store.
type Poller struct {
	docs     *Store
	sources  map[string]Source
	interval time.Duration
	random   jitter.Random
	log      *logrus.Entry
}

// NewPoller returns a poller with one source per kind of document and a mean interval between polls.
func NewPoller(docs *Store, sources map[string]Source, interval time.Duration, random jitter.Random, log *logrus.Entry) *Poller {
	return &Poller{docs: docs, sources: sources, interval: interval, random: random, log: log}
}

// Poll reads every source once.
func (p *Poller) Poll(ctx context.Context) {
	for kind, src := range p.sources {
		d, err := src(ctx, p.docs.Get(kind).Version)
		if err != nil {
			if ctx.Err() == nil {
				p.log.WithError(err).WithField("kind", kind).Debug("cannot read a document from the table service")
			}
			continue
		}
		if d.Version > 0 && p.docs.PutIfNewer(d) {
			p.log.WithField("kind", kind).WithField("version", d.Version).Info("document in force")
		}
	}
}

// Run polls until the context ends; the jitter keeps processes from polling together.
func (p *Poller) Run(ctx context.Context) {
	for {
		p.Poll(ctx)
		timer := time.NewTimer(p.random.Around(p.interval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}
