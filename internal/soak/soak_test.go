package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "chervilhead")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "chervilhead/cmd/chervilhead").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, out)
	}
	return bin
}

// turns bounds the runs beside each other: one waits most of its time, so that two don't starve.
var turns = make(chan struct{}, 2)

// takeTurn lets a subtest run beside others.
func takeTurn(t *testing.T) {
	t.Helper()
	t.Parallel()
	turns <- struct{}{}
	t.Cleanup(func() { <-turns })
}

// TestSeeds runs the seeds in testdata/seeds.txt, which guard against earlier failures.
func TestSeeds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	data, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	bin := build(t)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 3 || f[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(f[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		length, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed_"+f[0], func(t *testing.T) {
			takeTurn(t)
			runSeed(t, Settings{
				Binary: bin, Seed: seed, InjectionDuration: length, Restores: slices.Contains(f, "+restores"),
				RateLimits: slices.Contains(f, "+limits"), Leaves: slices.Contains(f, "+leaves"), Pauses: slices.Contains(f, "+pauses"),
				Versions: slices.Contains(f, "+versions"), Keys: slices.Contains(f, "+keys"), StrictRevocation: slices.Contains(f, "+revocation"), Quotas: slices.Contains(f, "+quotas"), Refusals: slices.Contains(f, "+refusals"), LargeConfigs: slices.Contains(f, "+large"),
				HerdKills: slices.Contains(f, "+herds"), Crashing: slices.Contains(f, "+crashing"), Strangers: strangersOf(f), ClockSteps: slices.Contains(f, "+clocks"),
			})
		})
	}
}

// strangersOf returns the number of clients that don't behave at each gateway in a line of seeds.txt.
func strangersOf(fields []string) int {
	if slices.Contains(fields, "+strangers") {
		return 30
	}
	return 0
}

func runSeed(t *testing.T, cfg Settings) {
	t.Helper()
	cfg.Dir, cfg.Gateways, cfg.PlainEndpoints, cfg.Engines, cfg.Clients = filepath.Join(t.TempDir(), "soak"), 3, 4, 2, 12
	rep, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	if rep.OutcomeCounts["get_served"] == 0 || rep.OutcomeCounts["chat_served"] == 0 {
		t.Errorf("no get or no chat request was served: %v", rep.OutcomeCounts)
	}
	for _, b := range rep.Violations {
		t.Error(b)
	}
	t.Logf("%d faults, %v", len(rep.Faults), rep.OutcomeCounts)
}

func TestSchedule(t *testing.T) {
	seen := map[faultKind]bool{}
	for seed := range uint64(40) {
		a, b := schedule(seed, 20*time.Second), schedule(seed, 20*time.Second)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d gave two different schedules", seed)
		}
		for i, e := range a {
			seen[e.kind] = true
			if i > 0 && e.at < a[i-1].at || e.duration < minFaultDuration || e.duration > maxFaultDuration {
				t.Errorf("seed %d: fault out of order or duration out of bounds: %s", seed, e)
			}
		}
	}
	for k := range faultKindCount {
		if !seen[k] {
			t.Errorf("40 seeds scheduled no %s", k)
		}
	}
}

func TestSpans(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	for _, tc := range []struct {
		s        span
		from, to int
		want     bool
	}{
		{span{at(2), at(4)}, 0, 1, false},
		{span{at(2), at(4)}, 0, 3, true},
		{span{at(2), at(4)}, 5, 6, false},
		{span{from: at(2)}, 5, 6, true},
		{span{from: at(2)}, 0, 1, false},
	} {
		if got := tc.s.overlaps(at(tc.from), at(tc.to)); got != tc.want {
			t.Errorf("span %v overlaps %d to %d: got %v", tc.s, tc.from, tc.to, got)
		}
	}
}

func TestScheduleKinds(t *testing.T) {
	for kind, schedule := range map[faultKind]func(uint64, time.Duration) []faultEvent{storeRestore: scheduleRestores, rateLimit: scheduleRateLimits, endpointLeave: scheduleLeaves, endpointPause: schedulePauses, rollout: scheduleRollouts, gatewaysKill: scheduleGatewayKills, gatewaysFreeze: scheduleGatewayFreezes, keyChange: scheduleKeyChanges, quotaChange: scheduleQuotaChanges, keyRevoke: scheduleRevokes, gatewayRefusal: scheduleRefusals, largeChange: scheduleLargeChanges, herdKill: scheduleHerdKills} {
		count := 0
		for seed := range uint64(40) {
			list := schedule(seed, 20*time.Second)
			if !slices.Equal(list, schedule(seed, 20*time.Second)) {
				t.Fatalf("%s: seed %d gave two different schedules", kind, seed)
			}
			count += len(list)
			for _, e := range list {
				if e.kind != kind || e.duration < minFaultDuration || e.duration > maxFaultDuration {
					t.Errorf("seed %d: not a %s or its duration is out of bounds: %s", seed, kind, e)
				}
			}
		}
		if count < 40 {
			t.Errorf("%d faults %s in 40 seeds of 20 s", count, kind)
		}
	}
}
