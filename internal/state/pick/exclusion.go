package pick

import (
	"slices"
	"time"

	"chervilhead/internal/state/fleet"
)

// Exclusion is why an endpoint can't take a request.
type Exclusion string

// The reasons for which an endpoint can't take a request.
const (
	// Included means that it can.
	Included     Exclusion = ""
	OtherService Exclusion = "other_service"
	Leaving      Exclusion = "leaving"
	// Unreachable means that connections to it failed a moment ago.
	Unreachable Exclusion = "unreachable"
	// Tried means that an earlier attempt of the request went there.
	Tried Exclusion = "tried"
	// EngineDead means that its keeper gets no answer from the engine.
	EngineDead Exclusion = "engine_dead"
	// KeeperSilent means that its keeper is silent and it has a waiting request already.
	KeeperSilent Exclusion = "keeper_silent"
	// NoModel means that it lacks the model, or the adapter where none can be loaded.
	NoModel Exclusion = "model_not_resident"
	// Paused means that it has asked for a pause that is too long for the request.
	Paused Exclusion = "paused"
	// RetryWaits means that a retry would have to wait for its rate limit or pause.
	RetryWaits Exclusion = "retry_would_wait"
)

// exclusion returns why an endpoint can't take a request in time.
func exclusion(req Request, c Candidate, now time.Time) Exclusion {
	switch {
	case c.PauseLeft > req.MaxPause:
		return Paused
	case c.startWait() > 0 && len(req.Tried) > 0:
		// A retry has no time left to wait.
		return RetryWaits
	}
	return unusable(req, c, now)
}

// unusable returns why an endpoint can't take a request now or after a wait.
func unusable(req Request, c Candidate, now time.Time) Exclusion {
	switch {
	case c.State.Leaving:
		return Leaving
	case c.State.Service != req.Service:
		return OtherService
	case !c.Health.Reachable(now):
		return Unreachable
	case slices.Contains(req.Tried, c.State.ID):
		return Tried
	case c.State.StatusSupersedes && !c.State.Status.Alive && now.Sub(c.State.Status.ReceivedAt) < 2*reportHalfWeightAge:
		return EngineDead
	case c.State.KeeperSilent && c.Prefilling >= maxSilentPrefills:
		return KeeperSilent
	case req.ModelName.Model == "":
		return Included
	}
	modelHeld, nameHeld := fleet.Holds(c.State.Residents(), req.ModelName)
	if nameHeld || modelHeld && !req.HeldOnly {
		return Included
	}
	return NoModel
}

// Assessment is what speaks for and against a candidate.
type Assessment struct {
	Candidate Candidate
	// Excluded is why the candidate can't take the request; the others are unset unless it is
	// Included.
	Excluded Exclusion
	Choice   Choice
	// Cost is what the candidates are compared by.
	Cost time.Duration
}

// Assess returns the assessments of the candidates by which Best chooses, in their order. The
// random term of plain services has its mean.
func Assess(req Request, list []Candidate, m LatencyModel, now time.Time, adapterSlots int) []Assessment {
	home := Home(req, list)
	out := make([]Assessment, 0, len(list))
	for _, c := range list {
		a := Assessment{Candidate: c, Excluded: exclusion(req, c, now)}
		if a.Excluded == Included {
			a.Choice, a.Cost = score(req, c, m, now, adapterSlots, home, func() float64 { return 0.5 })
		}
		out = append(out, a)
	}
	return out
}
