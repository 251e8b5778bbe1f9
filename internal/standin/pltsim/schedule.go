package pltsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Service names one service of the platform.
type Service string

// The platform's services.
const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
	ServiceWeights Service = "weights"
	ServiceHosts   Service = "hosts"
)

var services = []Service{ServiceTable, ServiceObjects, ServiceWeights, ServiceHosts}

// Fault is what is wrong with a service.
type Fault string

// The troubles. Reads of a lagging service show what it held some time ago.
const (
	FaultUnavailable Fault = "away"
	FaultSlow        Fault = "slow"
	FaultLag         Fault = "lagging"
	FaultLostReply   Fault = "lose_reply"
)

// Schedule says when a service is in trouble. Times count from the stand-in's start.
type Schedule struct {
	Service Service `yaml:"service"`
	Fault   Fault   `yaml:"trouble"`
	// Delay is the delay of each call of a slow service or the lag of a lagging one.
	Delay time.Duration `yaml:"by"`
	// LossProbability is the probability, drawn for each write, that its reply is lost.
	LossProbability float64 `yaml:"rate"`
	// From is when the trouble begins first, For how long it lasts; 0 is for ever.
	From     time.Duration `yaml:"from"`
	Duration time.Duration `yaml:"for"`
	// Every is the time between two beginnings; 0 lets the trouble come once.
	Every time.Duration `yaml:"every"`
	// MaxJitter delays each beginning by a random time below it.
	MaxJitter time.Duration `yaml:"spread"`
	Seed      uint64        `yaml:"seed"`
}

// active reports whether the trouble is there at a time after the start.
func (s Schedule) active(elapsed time.Duration) bool {
	since := elapsed - s.From
	if since < 0 {
		return false
	}
	round := time.Duration(0)
	if s.Every > 0 {
		round = since / s.Every
	}
	begin := round * s.Every
	if s.MaxJitter > 0 {
		begin += time.Duration(rand.New(rand.NewPCG(s.Seed, uint64(round))).Int64N(int64(s.MaxJitter)))
	}
	return since >= begin && (s.Duration == 0 || since < begin+s.Duration)
}

// scheduled is a schedule in force and the draws of its lost replies.
type scheduled struct {
	Schedule
	start time.Time
	rand  *rand.Rand
}

// SetSchedules puts schedules into force from now on, in place of earlier ones.
func (f *Faults) SetSchedules(list []Schedule) {
	now := time.Now()
	per := map[Service][]scheduled{}
	for i, s := range list {
		per[s.Service] = append(per[s.Service], scheduled{s, now, rand.New(rand.NewPCG(s.Seed, uint64(i)))})
	}
	for _, service := range services {
		one := f.ForService(service)
		one.mu.Lock()
		one.plan = per[service]
		one.lagged = one.lagged || slices.ContainsFunc(one.plan, func(s scheduled) bool { return s.Fault == FaultLag })
		one.mu.Unlock()
	}
}
