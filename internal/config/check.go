package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/engsim"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/table"
)

// checks collects the problems found in settings.
type checks []problem

func (c *checks) add(bad bool, field, message, remedy string) {
	if bad {
		*c = append(*c, problem{field, message, remedy})
	}
}

func (c *checks) node(id, domain string) {
	c.add(id == "", "id", "the process has no id", "set a name that is unique in the fleet")
	c.add(domain == "", "failure_domain", "the failure domain is missing", "set the failure domain of the host")
}

// listen checks an address to listen on.
func (c *checks) listen(field, value string) {
	_, err := netip.ParseAddrPort(value)
	c.add(err != nil, field, fmt.Sprintf("value %q is not an IP address and port", value), `write it as "127.0.0.1:8080"`)
}

// url checks the URL of a platform service or an endpoint.
func (c *checks) url(field, value string) {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		_, err = netip.ParseAddrPort(u.Host)
	} else if err == nil {
		err = fmt.Errorf("scheme %q", u.Scheme)
	}
	c.add(err != nil, field, fmt.Sprintf("value %q is not an HTTP URL with an IP address and port", value), `write it as "http://127.0.0.1:7001"`)
}

func (c *checks) positive(field string, d time.Duration) {
	c.add(d <= 0, field, fmt.Sprintf("value %s is not above zero", d), `write a duration such as "2s"`)
}

func (c *checks) platform(p plat.Settings) {
	c.url("platform.table", p.Table)
	c.url("platform.objects", p.Objects)
	c.url("platform.weights", p.Weights)
	c.url("platform.hosts", p.Hosts)
	c.positive("platform.timeout", p.Timeout)
	for field, v := range map[string]float64{
		"table_reads": p.RateLimits.TableReads, "table_writes": p.RateLimits.TableWrites, "objects": p.RateLimits.Objects, "hosts": p.RateLimits.Hosts,
	} {
		c.add(v < 0, "platform.budget."+field, "the value is below zero", "write a number of calls per second, or omit the field for the default")
	}
}

func (c *checks) timing(t Timing) {
	c.positive("timing.table_poll", t.TablePoll)
	c.positive("timing.host_poll", t.HostPoll)
	c.positive("timing.lease_term", t.LeaseTerm)
	c.add(t.OrderDelay <= 0 || t.OrderDelay >= t.LeaseTerm, "timing.order_delay",
		fmt.Sprintf("value %s is not between zero and the lease term %s", t.OrderDelay, t.LeaseTerm), "write a shorter duration")
	c.add(t.DrainDelay < 0, "timing.drain_delay", "the value is negative", `write a duration such as "1s"`)
}

func (s *Entry) problems() []problem {
	var c checks
	c.node(s.ID, s.FailureDomain)
	c.listen("listen.callers", s.Listen.Callers)
	c.listen("listen.admin", s.Listen.Admin)
	c.listen("listen.peers", s.Listen.Peers)
	c.platform(s.Platform)
	c.timing(s.Timing)
	c.add(s.Limits.MaxBodyBytes <= 0, "limits.max_body_bytes", "the value is not above zero", "write a number of bytes")
	c.positive("limits.start_timeout", s.Limits.StartTimeout)
	c.add(s.Limits.BodyTimeout < 0, "limits.body_timeout", "the value is below zero", `write a duration such as "2m"`)
	c.add(s.Limits.WriteTimeout < 0, "limits.write_timeout", "the value is below zero", `write a duration such as "1m"`)
	c.add(s.Resources.MemoryMB < 0, "resources.memory_mb", "the value is below zero", "write the memory limit of the process in megabytes, or omit the field")
	c.add(s.Resources.MaxDescriptors < 0, "resources.max_descriptors", "the value is below zero", "write the number of descriptors of the process, or omit the field")
	c.clients(s.Clients)
	c.add(s.LoadsPerSecond < 0, "loads_per_second", "the value is below zero", "write how many loads the weight store starts per second, such as 2")
	c.add(s.MoveCost < 0, "move_cost", "the value is below zero", "write a fraction such as 1, or 2 for fewer moves")
	return c
}

func (s *Entry) addresses() []address {
	return []address{{"listen.callers", s.Listen.Callers}, {"listen.admin", s.Listen.Admin}, {"listen.peers", s.Listen.Peers}}
}

func (s *Agent) problems() []problem {
	var c checks
	c.node(s.ID, s.FailureDomain)
	c.listen("listen.peers", s.Listen.Peers)
	c.listen("listen.http", s.Listen.HTTP)
	c.platform(s.Platform)
	c.timing(s.Timing)
	c.url("endpoint.url", s.Endpoint.URL)
	c.add(s.Endpoint.Slots <= 0, "endpoint.slots", "the value is not above zero", "write how many attempts the endpoint runs concurrently")
	c.add(s.Endpoint.KeptSlotsOrDefault() < 0 || s.Endpoint.KeptSlotsOrDefault() > s.Endpoint.Slots/4, "endpoint.kept_slots",
		"the value is not between zero and a quarter of the slots", "write how many slots may stay free for groups below their fair share")
	c.add(s.Endpoint.ExtraSlots < 0, "endpoint.extra_slots", "the value is negative", "write how many attempts the engine batches beyond its slots")
	c.add(s.Endpoint.QueueBound <= 0, "endpoint.queue_bound", "the value is not above zero", "write how many attempts may wait for the endpoint")
	return c
}

func (s *Agent) addresses() []address {
	return []address{{"listen.peers", s.Listen.Peers}, {"listen.http", s.Listen.HTTP}}
}

func (s *Engine) problems() []problem {
	var c checks
	c.listen("listen", s.Listen)
	c.url("weights", s.Weights)
	c.add(s.Engine.KVBytes < 0 || s.Engine.MemoryTotalBytes <= s.Engine.KVBytes, "engine.memory_total_bytes",
		"the memory does not exceed the KV cache", "write a larger number of bytes")
	c.add(s.Engine.Slots <= 0, "engine.slots", "the value is not above zero", "write how many requests the engine batches")
	c.add(s.Engine.LoadBytesPerSecond <= 0, "engine.load_bytes_per_second", "the value is not above zero", "write how many bytes a load reads per second")
	c.engineFaults(s.Engine)
	return c
}

// engineFaults checks how a stand-in engine resumes answers and which faults it simulates.
func (c *checks) engineFaults(s engsim.Settings) {
	c.add(s.Resume.Enabled && s.Resume.Grace <= 0, "engine.resume.grace", "answers can be resumed but are kept for no time", `write a duration such as "5s"`)
	c.notNegative("engine.resume.grace", s.Resume.Grace)
	c.add(s.Resume.WindowBytes < 0, "engine.resume.window_bytes", "the value is negative", "write a number of bytes, or omit the field for the default")
	c.add(s.Resume.MaxRetained < 0, "engine.resume.kept", "the value is negative", "write a number of answers, or omit the field for the default")
	c.probability("engine.stream_faults.break", s.StreamFaults.BreakProbability)
	c.notNegative("engine.report_lag", s.ReportLag)
	c.notNegative("engine.cache_events.lag", s.CacheEvents.Lag)
	c.probability("engine.cache_events.drop", s.CacheEvents.GapProbability)
	c.add(s.CacheEvents.MaxGap < 0 || s.CacheEvents.GapProbability > 0 && s.CacheEvents.MaxGap == 0, "engine.cache_events.max_gap",
		"the value is negative, or zero although events are dropped", "write the most events dropped at once")
}

func (c *checks) notNegative(field string, d time.Duration) {
	c.add(d < 0, field, fmt.Sprintf("value %s is negative", d), `write a duration such as "500ms"`)
}

func (c *checks) probability(field string, p float64) {
	c.add(!(p >= 0 && p <= 1), field, fmt.Sprintf("value %v is not a probability", p), "write a number from 0 to 1")
}

func (s *Engine) addresses() []address { return []address{{"listen", s.Listen}} }

func (s *Service) problems() []problem {
	var c checks
	c.listen("listen", s.Listen)
	c.add(s.Delay < 0, "delay", "the value is negative", `write a duration such as "5ms"`)
	return c
}

func (s *Service) addresses() []address { return []address{{"listen", s.Listen}} }

func (s *Platform) problems() []problem {
	var c checks
	c.listen("listen", s.Listen)
	c.add(s.HostLag < 0, "host_lag", "the value is negative", `write a duration such as "500ms"`)
	c.add(!(s.LoadsPerSecond > 0), "loads_per_second", "the value is not above zero", "write how many loads the weight store starts per second")
	c.add(s.LoadsAtOnce <= 0, "loads_at_once", "the value is not above zero", "write how many loads the weight store runs concurrently")
	for i, h := range s.Hosts {
		at := fmt.Sprintf("hosts[%d]", i)
		c.add(h.ID == "", at+".id", "the host has no id", "write the id of the process on the host")
		c.add(h.FailureDomain == "", at+".failure_domain", "the failure domain is missing", "write the failure domain of the host")
		c.listen(at+".address", h.Address)
	}
	if err := table.Check(table.New(0, s.Table.Groups, s.Table.Models, s.Table.Services, s.Table.Keys)); err != nil {
		c.add(true, "table", err.Error(), "correct the row")
	}
	for i, f := range s.Faults {
		c.platformFault(fmt.Sprintf("faults[%d]", i), f)
	}
	return c
}

// platformFault checks one scheduled fault of the stand-in platform.
func (c *checks) platformFault(at string, s pltsim.Schedule) {
	known, writes := true, s.Service == pltsim.ServiceTable || s.Service == pltsim.ServiceObjects
	switch s.Service {
	case pltsim.ServiceTable, pltsim.ServiceObjects, pltsim.ServiceWeights, pltsim.ServiceHosts:
	default:
		known = false
	}
	c.add(!known, at+".service", fmt.Sprintf("value %q is not a service", s.Service), "use table, objects, weights or hosts")
	switch s.Fault {
	case pltsim.FaultUnavailable:
	case pltsim.FaultSlow, pltsim.FaultLag:
		c.positive(at+".by", s.Delay)
		c.add(s.Fault == pltsim.FaultLag && s.Service == pltsim.ServiceWeights, at+".trouble", "the weight store holds no data that could lag", "use slow or away")
	case pltsim.FaultLostReply:
		c.add(!(s.LossProbability > 0 && s.LossProbability <= 1), at+".rate", fmt.Sprintf("value %v is not a probability above zero", s.LossProbability), "write a number such as 0.1")
		c.add(known && !writes, at+".trouble", fmt.Sprintf("the service %q takes no writes", s.Service), "use table or objects")
	default:
		c.add(true, at+".trouble", fmt.Sprintf("value %q is not a kind of fault", s.Fault), "use away, slow, lagging or lose_reply")
	}
	c.notNegative(at+".from", s.From)
	c.notNegative(at+".for", s.Duration)
	c.notNegative(at+".every", s.Every)
	c.notNegative(at+".spread", s.MaxJitter)
	c.add(s.Every > 0 && (s.Duration == 0 || s.Duration+s.MaxJitter > s.Every), at+".every", "the fault does not end before it begins again", "write a duration of at least 'for' plus 'spread'")
}

func (s *Platform) addresses() []address {
	out := []address{{"listen", s.Listen}}
	for i, h := range s.Hosts {
		out = append(out, address{fmt.Sprintf("hosts[%d].address", i), h.Address})
	}
	return out
}

func (s *Demo) problems() []problem {
	var c checks
	c.listen("listen", s.Listen)
	c.listen("admin", s.Admin)
	c.add(s.TokenInterval < 0, "token_interval", "the value is negative", `write a duration such as "20ms"`)
	return c
}

func (s *Demo) addresses() []address {
	out := []address{{"listen", s.Listen}, {"admin", s.Admin}}
	if next, err := NextPort(s.Listen); err == nil {
		out = append(out, address{"listen", next})
	}
	return out
}

// overlaps returns a problem for each address that overlaps with one of an earlier field.
func overlaps(list []address) []problem {
	var out []problem
	seen := map[netip.AddrPort]string{}
	for _, a := range list {
		ap, err := netip.ParseAddrPort(a.value)
		if err != nil || ap.Port() == 0 {
			continue
		}
		if first, ok := findOverlap(seen, ap); ok {
			out = append(out, problem{a.field, fmt.Sprintf("address %s overlaps with that of field %q", a.value, first), "give each listener its own port"})
			continue
		}
		seen[ap] = a.field
	}
	return out
}

// findOverlap returns the field whose address has the same port as ap and the same IP address,
// counting an unspecified address as the same as any other.
func findOverlap(seen map[netip.AddrPort]string, ap netip.AddrPort) (string, bool) {
	for other, field := range seen {
		if other.Port() == ap.Port() && (other.Addr() == ap.Addr() || other.Addr().IsUnspecified() || ap.Addr().IsUnspecified()) {
			return field, true
		}
	}
	return "", false
}

// CheckAddressOverlap returns an *Error if two of the settings, read from paths, listen on
// overlapping addresses.
func CheckAddressOverlap(paths []string, all []Settings) error {
	seen := map[netip.AddrPort]string{}
	for i, s := range all {
		if _, ok := s.(*Platform); ok {
			continue // its host list repeats the addresses of the other processes
		}
		for _, a := range s.addresses() {
			ap, err := netip.ParseAddrPort(a.value)
			if err != nil || ap.Port() == 0 {
				continue
			}
			if first, ok := findOverlap(seen, ap); ok {
				return &Error{
					File: paths[i], Field: a.field, Message: fmt.Sprintf("address %s overlaps with that of %s", a.value, first),
					Remedy: "give each process its own port",
				}
			}
			seen[ap] = paths[i]
		}
	}
	return nil
}
