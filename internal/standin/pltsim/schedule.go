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

// Fault is a kind of fault of a service.
type Fault string

// The faults. Reads of a lagging service return an earlier state.
const (
	FaultUnavailable Fault = "away"
	FaultSlow        Fault = "slow"
	FaultLag         Fault = "lagging"
	FaultLostReply   Fault = "lose_reply"
)

// Schedule says when a service has a fault. Times count from the call of SetSchedules.
type Schedule struct {
	Service Service `yaml:"service"`
	Fault   Fault   `yaml:"trouble"`
	// Delay is the delay of each call of a slow service or the lag of a lagging one.
	Delay time.Duration `yaml:"by"`
	// LossProbability is the probability, drawn for each write, that its reply is lost.
	LossProbability float64 `yaml:"rate"`
	// From is when the fault first begins, Duration how long it lasts; 0 means without end.
	From     time.Duration `yaml:"from"`
	Duration time.Duration `yaml:"for"`
	// Every is the period with which the fault begins again; 0 means that it occurs once.
	Every time.Duration `yaml:"every"`
	// MaxJitter is the upper bound of a random delay of each beginning.
	MaxJitter time.Duration `yaml:"spread"`
	Seed      uint64        `yaml:"seed"`
}

// active reports whether the fault is in force at a time after the start.
func (s Schedule) active(elapsed time.Duration) bool {
	sinceFrom := elapsed - s.From
	if sinceFrom < 0 {
		return false
	}
	n := time.Duration(0)
	if s.Every > 0 {
		n = sinceFrom / s.Every
	}
	begin := n * s.Every
	if s.MaxJitter > 0 {
		begin += time.Duration(rand.New(rand.NewPCG(s.Seed, uint64(n))).Int64N(int64(s.MaxJitter)))
	}
	return sinceFrom >= begin && (s.Duration == 0 || sinceFrom < begin+s.Duration)
}

// activeSchedule is a schedule with its start and its random source for lost replies.
type activeSchedule struct {
	Schedule
	start time.Time
	rand  *rand.Rand
}

// SetSchedules replaces all schedules; their times count from now.
func (f *Faults) SetSchedules(list []Schedule) {
	now := time.Now()
	perService := map[Service][]activeSchedule{}
	for i, s := range list {
		perService[s.Service] = append(perService[s.Service], activeSchedule{s, now, rand.New(rand.NewPCG(s.Seed, uint64(i)))})
	}
	for _, service := range services {
		faults := f.ForService(service)
		faults.mu.Lock()
		faults.schedules = perService[service]
		faults.keepsHistory = faults.keepsHistory || slices.ContainsFunc(faults.schedules, func(s activeSchedule) bool { return s.Fault == FaultLag })
		faults.mu.Unlock()
	}
}
