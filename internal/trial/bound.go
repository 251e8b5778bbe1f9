package trial

import "time"

// bound counts the requests that a clairvoyant placement could serve in time: every
// model is resident everywhere, all slots form one pool, and a request is served in
// order of arrival or, if it would be late, not at all. As all requests are equally
// long, no order serves more. The loss of a failure domain removes its slots and loses no request.
func bound(s FleetSpec, l Workload, arrivals []arrival) Result {
	totalSlots := s.Engines * slots
	var lostSlots int
	for i := range s.Engines {
		if l.losesDomain && i%s.FailureDomains == 0 {
			lostSlots += slots
		}
	}
	var r Result
	var ends []time.Duration // of running requests, ascending
	var last time.Duration
	removed := false
	for _, a := range arrivals {
		at := max(a.at, last)
		for {
			for len(ends) > 0 && ends[0] <= at {
				ends = ends[1:]
			}
			n := totalSlots
			if lostSlots > 0 && at >= domainLossStart && at < domainLossEnd {
				n -= lostSlots
				if !removed {
					removed = true
					ends = ends[:max(0, len(ends)-lostSlots)]
				}
			}
			if len(ends) < n {
				break
			}
			next := ends[0]
			if at < domainLossEnd && lostSlots > 0 && n < totalSlots {
				next = min(next, domainLossEnd)
			}
			at = next
		}
		if at-a.at > maxStartDelay {
			continue
		}
		last = at
		ends = append(ends, at+serviceTime)
		r.Finished++
		r.MetObjective++
	}
	return r.withFleet("bound", s, len(arrivals))
}
