package control

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilhead/internal/coordination/watch"
	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
	"chervilhead/internal/state/resume"
)

const (
	// streamHolders is the number of keepers that hold the record of a stream, so that two may be
	// lost.
	streamHolders = 3
	// queriedHolders is the number of keepers that are asked for a record: one more, because an
	// engine may have joined since the record was sent.
	queriedHolders = 4
	// streamQueryTimeout bounds the wait for a record. It is several round trips, and short
	// against the objectives of streams.
	streamQueryTimeout = 60 * time.Millisecond
	// streamQueryResend is the pause before a query is sent again to the keepers that are silent.
	streamQueryResend = 20 * time.Millisecond
)

// streamQueries are the queries for records that wait for replies, by number.
type streamQueries struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan streamReply
}

// streamReply is a keeper's reply to a query.
type streamReply struct {
	from    string
	records []resume.Record
}

// add returns the number of a new query and the channel of its replies; a later incarnation of the
// gateway at this address begins at another number.
func (q *streamQueries) add() (uint64, chan streamReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting, q.last = map[uint64]chan streamReply{}, uint64(time.Now().UnixNano())
	}
	q.last++
	// Each keeper replies at most once a message.
	replies := make(chan streamReply, queriedHolders*int(streamQueryTimeout/streamQueryResend+1))
	q.waiting[q.last] = replies
	return q.last, replies
}

func (q *streamQueries) remove(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

// handleReply passes a keeper's reply to its query, if that still waits.
func (q *streamQueries) handleReply(m *dgram.StreamRecords, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case q.waiting[m.Query] <- streamReply{from, m.Records()}:
	default:
	}
}

// holders returns the keepers beside the engines of a service by descending weight for a stream,
// at most n.
func holders(hosts []netip.Addr, key uint64, n int) []netip.Addr {
	name := strconv.FormatUint(key, 36)
	weights := make(map[netip.Addr]uint64, len(hosts))
	for _, h := range hosts {
		weights[h] = poison.RendezvousWeight(name, h.String())
	}
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b netip.Addr) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), a.Compare(b))
	})
	return sorted[:min(n, len(sorted))]
}

// KeeperAddresses returns the addresses of the keepers beside the listed engines.
func (p *Plane) KeeperAddresses() []string {
	v := p.view()
	var out []string
	for name, svc := range v.Config.Services() {
		if svc.Engine == nil {
			continue
		}
		for _, h := range p.engineHosts(v, name) {
			out = append(out, p.hostAddr(h).String())
		}
	}
	return out
}

// engineHosts returns the hosts of a service's engines, in order.
func (p *Plane) engineHosts(v *watch.View, service string) []netip.Addr {
	var out []netip.Addr
	for _, e := range v.Endpoints {
		if e.Service != service || p.engineSpec(v, e) == nil {
			continue
		}
		if ap, err := netip.ParseAddrPort(e.Address); err == nil {
			out = append(out, ap.Addr())
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return slices.Compact(out)
}

// SendStreamRecords implements proxy.ControlPlane.
func (p *Plane) SendStreamRecords(service string, recs []resume.Record) {
	hosts := p.engineHosts(p.view(), service)
	held := map[netip.Addr][]resume.Record{}
	for _, rec := range recs {
		for _, h := range holders(hosts, rec.Key, streamHolders) {
			held[h] = append(held[h], rec)
		}
	}
	for h, list := range held {
		for _, m := range dgram.NewStreamRecords(list) {
			p.sendToHost(h, m)
		}
	}
}

// QueryStreamRecord implements proxy.ControlPlane.
func (p *Plane) QueryStreamRecord(ctx context.Context, service string, key uint64) (resume.Record, resume.Source) {
	hosts := holders(p.engineHosts(p.view(), service), key, queriedHolders)
	if len(hosts) == 0 {
		return resume.Record{}, resume.NoRecord
	}
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	number, replies := p.streamQueries.add()
	defer p.streamQueries.remove(number)
	silent := map[string]netip.Addr{}
	for _, h := range hosts {
		silent[p.hostAddr(h).String()] = h
	}
	resend := time.NewTicker(streamQueryResend)
	defer resend.Stop()
	for {
		for _, h := range silent {
			p.sendToHost(h, &dgram.StreamQuery{Query: number, Key: key})
		}
		for waiting := true; waiting; {
			select {
			case r := <-replies:
				for _, rec := range r.records {
					if rec.Key == key {
						return rec, resume.KeeperRecord
					}
				}
				if delete(silent, r.from); len(silent) == 0 {
					return resume.Record{}, resume.NoRecord
				}
			case <-resend.C:
				waiting = false
			case <-ctx.Done():
				return resume.Record{}, resume.KeepersSilent
			}
		}
	}
}

func (p *Plane) hostAddr(h netip.Addr) net.Addr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(h, uint16(p.cfg.KeeperPort)))
}

func (p *Plane) sendToHost(h netip.Addr, m dgram.Message) {
	data, err := dgram.Encode(m)
	if err == nil {
		_, err = p.conn.WriteTo(data, p.hostAddr(h))
	}
	if err != nil {
		p.log.WithError(err).WithField("host", h.String()).Debug("a message on streams was not sent")
	}
}
