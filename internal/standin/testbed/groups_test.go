package testbed

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"chervilhead/platform/stub"
)

func noExcuse(string, time.Time, time.Time) bool { return false }

func newGroups() []stub.Group {
	return []stub.Group{
		{Name: "north", Keys: []string{NewKey(), NewKey()}, Unit: stub.UnitTokens, PlainTokens: 5_000, PerSecond: 30_000, Burst: 20_000},
		{Name: "south", Keys: []string{NewKey()}},
	}
}

// TestCallerChecks guards against checks of UNASKED and ROUTE that miss a key or a wrong group at
// an endpoint, or a run without a known key, or that report a proper request.
func TestCallerChecks(t *testing.T) {
	groups := newGroups()
	key, other := groups[0].Keys[0], groups[1].Keys[0]
	for name, tc := range map[string]struct {
		req Request
		// header is what reaches the endpoint in addition.
		header http.Header
		public bool
		want   string
	}{
		"proper":          {Request{Keys: []string{key}}, http.Header{"G": {"north"}}, false, ""},
		"key_forwarded":   {Request{Keys: []string{key}}, http.Header{"G": {"north"}, "Api-Key": {key}}, false, "UNASKED"},
		"field_forwarded": {Request{Keys: []string{key}}, http.Header{"G": {"north"}, "Api-Key": {"x"}}, false, "UNASKED"},
		"key_elsewhere":   {Request{Keys: []string{key}}, http.Header{"G": {"north"}, "X": {"a " + key}}, false, "UNASKED"},
		"trailer_key":     {Request{Keys: []string{key}, TrailerKey: other}, http.Header{"G": {"north"}, "X": {other}}, false, "UNASKED"},
		"group_missing":   {Request{Keys: []string{key}}, nil, false, "UNASKED"},
		"group_of_caller": {Request{Keys: []string{key}, ForgedGroup: "south"}, http.Header{"G": {"south"}}, false, "UNASKED"},
		"two_groups":      {Request{Keys: []string{key}}, http.Header{"G": {"north", "south"}}, false, "UNASKED"},
		"no_key":          {Request{}, nil, false, "ROUTE"},
		"unknown_key":     {Request{Keys: []string{NewKey()}}, nil, false, "ROUTE"},
		"two_keys":        {Request{Keys: []string{key, other}}, nil, false, "ROUTE"},
		"key_in_trailer":  {Request{TrailerKey: key}, nil, false, "ROUTE"},
		"public":          {Request{}, nil, true, ""},
		"public_forged":   {Request{ForgedGroup: "south"}, http.Header{"G": {"south"}}, true, "UNASKED"},
	} {
		t.Run(name, func(t *testing.T) {
			env := &Environment{Checker: NewChecker(), Store: stub.NewStore()}
			env.addGroups(groups)
			env.Checker.addRequest("r", &sentRequest{public: tc.public, key: tc.req.callerKey(), secrets: tc.req.secrets()})
			env.Checker.checkCaller("r", "e", tc.header, nil, headerNames{key: "Api-Key", group: "G"})
			env.Checker.addRun("r", "e", "", "", "", "")
			if tc.want != "" {
				expectViolation(t, env.Checker, tc.want)
			} else if v := env.Checker.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}

// TestKeyTimes guards against checks of CONFIG and DENIED that miss a run with a key that was
// removed long before, or a rejected key, or that report one within its time.
func TestKeyTimes(t *testing.T) {
	const apply, strict = 2 * time.Second, 5 * time.Second
	const ago = 20 * time.Second
	for name, tc := range map[string]struct {
		// sentAfter is the time from the change of the key to the request.
		sentAfter      time.Duration
		added, removed bool
		strict         time.Duration
		excused        bool
		status         int
		want           string
	}{
		"removed_within_apply":    {sentAfter: time.Second, removed: true, strict: strict},
		"removed_after_apply":     {sentAfter: 3 * time.Second, removed: true, strict: strict, want: "CONFIG"},
		"removed_harmed_gateway":  {sentAfter: 4 * time.Second, removed: true, strict: strict, excused: true},
		"removed_after_strict":    {sentAfter: 6 * time.Second, removed: true, strict: strict, excused: true, want: "CONFIG"},
		"removed_strict_off":      {sentAfter: 6 * time.Second, removed: true, excused: true},
		"added_within_apply":      {sentAfter: time.Second, added: true, status: 401},
		"added_after_apply":       {sentAfter: 3 * time.Second, added: true, status: 401, want: "CONFIG"},
		"added_harmed_gateway":    {sentAfter: 3 * time.Second, added: true, status: 401, excused: true},
		"always_held_401":         {status: 401, want: "DENIED"},
		"always_held_403":         {status: 403, excused: true, want: "DENIED"},
		"removed_and_rejected":    {sentAfter: 3 * time.Second, removed: true, status: 401},
		"removed_rejected_at_403": {sentAfter: 3 * time.Second, removed: true, status: 403},
	} {
		t.Run(name, func(t *testing.T) {
			env := &Environment{Checker: NewChecker(), Store: stub.NewStore()}
			env.addGroups(newGroups())
			c, key := env.Checker, env.config.Groups[0].Keys[0]
			changed := time.Now().Add(-ago)
			switch {
			case tc.added:
				key = env.AddKey("north")
				c.keys[key].addedAt = changed
			case tc.removed:
				env.RemoveKey(key)
				c.keys[key].removedAt = changed
			}
			c.addRequest("r", &sentRequest{key: key})
			c.requests["r"].sentAt = changed.Add(tc.sentAfter)
			excused := func(string, time.Time, time.Time) bool { return tc.excused }
			if tc.status == 0 {
				c.addRun("r", "e", "", "", "", "")
				c.CheckKeys(apply, tc.strict, excused)
			} else {
				c.CheckDenied(Request{}, Result{ID: "r", Status: tc.status}, apply, excused)
			}
			if tc.want != "" {
				expectViolation(t, c, tc.want)
			} else if v := c.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}

// TestQuotaExceededReported guards against a check of QUOTA that misses a window with too much, at
// whichever gateway, or counts requests that didn't run, or a lower quota before it binds.
func TestQuotaExceededReported(t *testing.T) {
	// What the quota of the group north allows in a window, as the platform states it.
	const allowed = (30_000*8+20_000)*1.1 + 110_000
	const cost = 6_600
	const apply = 2 * time.Second
	fits := int(allowed / cost)
	for name, tc := range map[string]struct {
		requests int
		spread   time.Duration
		notRun   bool
		// raised is the quota that was in force until loweredAt.
		raised    float64
		loweredAt time.Duration
		want      bool
	}{
		"within":             {requests: fits, spread: 7 * time.Second},
		"beyond":             {requests: fits + 1, spread: 7 * time.Second, want: true},
		"beyond_in_9_s":      {requests: fits + 1, spread: 9 * time.Second},
		"rejected":           {requests: 2 * fits, spread: 7 * time.Second, notRun: true},
		"lowered_not_bound":  {requests: fits + 1, spread: 7 * time.Second, raised: 60_000, loweredAt: -time.Second},
		"lowered_and_bound":  {requests: fits + 1, spread: 7 * time.Second, raised: 60_000, loweredAt: -3 * time.Second, want: true},
		"raised_afterwards":  {requests: fits + 1, spread: 7 * time.Second, raised: 60_000, loweredAt: time.Hour, want: true},
		"group_without_rate": {requests: fits + 1, spread: 7 * time.Second, raised: -1, loweredAt: -time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			env := &Environment{Checker: NewChecker(), Store: stub.NewStore()}
			env.addGroups(newGroups())
			c, key, began := env.Checker, env.config.Groups[0].Keys[0], time.Now()
			low := c.quotas["north"][0]
			high := low
			high.PerSecond = max(0, tc.raised)
			switch {
			case tc.loweredAt > 0:
				high.from = began.Add(tc.loweredAt)
				low.to = high.from
				c.quotas["north"] = []quota{low, high}
			case tc.loweredAt < 0:
				high.from, low.from = began.Add(-time.Hour), began.Add(tc.loweredAt)
				high.to = low.from
				c.quotas["north"] = []quota{high, low}
			}
			for i := range tc.requests {
				id := fmt.Sprintf("r%d", i)
				c.addRequest(id, &sentRequest{key: key, tokens: cost, hasTokens: true, gateway: fmt.Sprintf("g%d", i%3)})
				c.requests[id].sentAt = began.Add(tc.spread * time.Duration(i) / time.Duration(tc.requests-1))
				if !tc.notRun {
					c.addRun(id, "e", "", "", "", "")
				}
			}
			c.CheckQuotas(apply)
			if tc.want {
				expectViolation(t, c, "QUOTA")
			} else if v := c.Violations(); len(v) > 0 {
				t.Errorf("got %q", v)
			}
		})
	}
}

// TestRunAfterUnauthorized guards against a check of REFUSED that allows a request that may be
// repeated to run although it got 401.
func TestRunAfterUnauthorized(t *testing.T) {
	for _, status := range []int{http.StatusUnauthorized, http.StatusTooManyRequests} {
		c := NewChecker()
		c.addRequest("r", &sentRequest{})
		c.addRun("r", "e", "", "", "", "")
		c.addNotRun("r", status)
		expectViolation(t, c, "REFUSED")
	}
}

// TestKeysOnTheWire guards against stand-ins that don't send a key, a trailer or a forged group,
// or endpoints that don't see one: here nothing is between the two.
func TestKeysOnTheWire(t *testing.T) {
	groups := newGroups()
	for name, req := range map[string]Request{
		"key":     {Keys: []string{groups[0].Keys[0]}},
		"trailer": {TrailerKey: groups[0].Keys[0], Body: "b"},
	} {
		env := newEnvironment(t, Settings{PlainEndpoints: 1, Groups: groups})
		c := NewClient(env.Checker)
		defer c.Close()
		req.Gateway, req.Route, req.Deadline, req.ForgedGroup = env.PlainEndpoints[0].RegisteredAddress(), env.Route("open"), time.Second, "south"
		if res := c.Do(req); res.Outcome != OutcomeServed {
			t.Errorf("%s: %v %s", name, res.Outcome, res.Detail)
		}
		if v := env.Checker.Violations(); len(v) != 2 {
			t.Errorf("%s: expected a key and a wrong group, got %q", name, v)
		}
	}
}
