package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanRestoreInterval is the mean time between restores of the store, which may overlap.
	meanRestoreInterval = 5 * time.Second
	// meanRateLimitInterval is the mean time between endpoints that name a rate limit.
	meanRateLimitInterval = 3 * time.Second
	// meanLeaveInterval is the mean time between endpoints that only their answers say to leave.
	meanLeaveInterval = 3 * time.Second
	// meanPauseInterval is the mean time between endpoints that ask for a pause.
	meanPauseInterval = 2 * time.Second
	// meanRolloutInterval is the mean time between rollouts, each of which takes some seconds.
	meanRolloutInterval = 4 * time.Second
	// meanGatewaysFaultInterval is the mean time between faults of one kind of all gateways at
	// once; between two of them a configuration has time to take effect.
	meanGatewaysFaultInterval = 8 * time.Second
	// meanKeyChangeInterval is the mean time between keys that are added or removed.
	meanKeyChangeInterval = 1500 * time.Millisecond
	// meanQuotaChangeInterval is the mean time between quotas that are raised for a while.
	meanQuotaChangeInterval = 10 * time.Second
	// meanRefusalInterval is the mean time between gateways that the store refuses, each of which
	// takes nine seconds or more.
	meanRefusalInterval = 4 * time.Second
	// meanLargeChangeInterval is the mean time between large configurations.
	meanLargeChangeInterval = 3 * time.Second
	// meanHerdKillInterval is the mean time between losses of many processes at once; some of them
	// recover in peace.
	meanHerdKillInterval = 5 * time.Second
	// meanRevokeInterval is the mean time between keys that are removed while a gateway is cut off,
	// each of which takes six seconds or more.
	meanRevokeInterval = 6 * time.Second
)

// scheduleKind returns the faults of one kind of a seed, ordered by time. Each kind has draws
// of its own, so that the other faults of a seed don't depend on it.
func scheduleKind(kind faultKind, stream, seed uint64, length, mean time.Duration) []faultEvent {
	r := rand.New(rand.NewPCG(seed, stream))
	var out []faultEvent
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(mean))
		if at >= length {
			return out
		}
		e := faultEvent{at: at, kind: kind, target: r.IntN(1 << 16), variant: r.IntN(1 << 16)}
		e.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		out = append(out, e)
	}
}

func scheduleRestores(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(storeRestore, 2, seed, length, meanRestoreInterval)
}

func scheduleRateLimits(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(rateLimit, 3, seed, length, meanRateLimitInterval)
}

func scheduleLeaves(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(endpointLeave, 4, seed, length, meanLeaveInterval)
}

func schedulePauses(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(endpointPause, 5, seed, length, meanPauseInterval)
}

func scheduleRollouts(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(rollout, 6, seed, length, meanRolloutInterval)
}

func scheduleGatewayKills(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(gatewaysKill, 7, seed, length, meanGatewaysFaultInterval)
}

func scheduleGatewayFreezes(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(gatewaysFreeze, 8, seed, length, meanGatewaysFaultInterval)
}

func scheduleKeyChanges(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(keyChange, 9, seed, length, meanKeyChangeInterval)
}

func scheduleQuotaChanges(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(quotaChange, 10, seed, length, meanQuotaChangeInterval)
}

func scheduleRevokes(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(keyRevoke, 11, seed, length, meanRevokeInterval)
}

func scheduleRefusals(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(gatewayRefusal, 12, seed, length, meanRefusalInterval)
}

func scheduleLargeChanges(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(largeChange, 13, seed, length, meanLargeChangeInterval)
}

func scheduleHerdKills(seed uint64, length time.Duration) []faultEvent {
	return scheduleKind(herdKill, 14, seed, length, meanHerdKillInterval)
}

// scheduleAll returns all faults of a run, ordered by time.
func scheduleAll(cfg Settings) []faultEvent {
	if cfg.DisableFaults {
		return nil
	}
	events := schedule(cfg.Seed, cfg.InjectionDuration)
	for _, kind := range []struct {
		on   bool
		list func(uint64, time.Duration) []faultEvent
	}{
		{cfg.Restores, scheduleRestores},
		{cfg.RateLimits, scheduleRateLimits},
		{cfg.Leaves, scheduleLeaves},
		{cfg.Pauses, schedulePauses},
		{cfg.Versions, scheduleRollouts},
		{cfg.Versions, scheduleGatewayKills},
		{cfg.Versions, scheduleGatewayFreezes},
		{cfg.Keys, scheduleKeyChanges},
		{cfg.Quotas, scheduleQuotaChanges},
		{cfg.StrictRevocation, scheduleRevokes},
		{cfg.Refusals, scheduleRefusals},
		{cfg.LargeConfigs, scheduleLargeChanges},
		{cfg.HerdKills, scheduleHerdKills},
	} {
		if kind.on {
			events = append(events, kind.list(cfg.Seed, cfg.InjectionDuration)...)
		}
	}
	slices.SortStableFunc(events, func(a, b faultEvent) int { return cmp.Compare(a.at, b.at) })
	return events
}
