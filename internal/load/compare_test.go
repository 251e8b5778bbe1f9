package load

import (
	"testing"
	"time"
)

// TestCompareAnswersComplete guards against a comparison with truncated direct answers:
// an agent cancels requests on its engine that it did not start.
func TestCompareAnswersComplete(t *testing.T) {
	cfg := DefaultCompareSettings()
	cfg.Engines, cfg.Slots, cfg.Tokens, cfg.TokenInterval = 2, 4, 100, 5*time.Millisecond
	cfg.RoundDuration, cfg.Rounds = time.Second, 1
	c, err := Compare(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]SideSummary{"direct": c.Direct, "path": c.ThroughSystem} {
		if s.CompleteAnswer.Count == 0 || s.Incomplete > 0 || s.Violations > 0 {
			t.Errorf("%s side: %d complete, %d incomplete, %d violations", name, s.CompleteAnswer.Count, s.Incomplete, s.Violations)
		}
	}
}
