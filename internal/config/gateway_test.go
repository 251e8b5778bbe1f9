package config

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// placeholderValues are the values that the platform renders into the templates, as JSON
// where the placeholder ends in "|json".
var placeholderValues = map[string]string{
	"nodeName|json": `"frontend-a-1"`, "zone|json": `"a"`, "listen.front|json": `"10.1.0.38:8149"`, "listen.ready|json": `"10.1.0.38:8141"`,
	"ip": "10.1.0.38", "internalPorts.0": "7380", "internalPorts.1": "7395", "platform.address|json": `"10.200.1.7:8142"`,
	"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "56", "bounds.budgetWindowS": "10", "bounds.graceS": "8",
	"#bootstrap": "", "/bootstrap": "",
	"bounds.ceilingWindowS": "4", "#bounds.ceilingWindowS": "", "/bounds.ceilingWindowS": "",
	"#bounds.revokeStrict": "", "/bounds.revokeStrict": "", "bounds.revokeMs": "5000",
	"limits.memoryMb": "284", "limits.maxFds": "4100", "service|json": `"s"`, "app|json": `"10.1.0.40:8145"`,
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

func render(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	return placeholder.ReplaceAllStringFunc(string(data), func(p string) string {
		v, ok := placeholderValues[strings.Trim(p, "{}")]
		if !ok {
			t.Errorf("%s: placeholder %s has no value", name, p)
		}
		return v
	})
}

func TestTemplates(t *testing.T) {
	s, err := Parse("gateway", []byte(render(t, "gateway.yaml.tmpl")))
	if err != nil {
		t.Fatal(err)
	}
	g, ok := s.(*Gateway)
	if !ok || g.Retries.Slack != 56 || !g.Retries.FirstStart || g.Shutdown.GracePeriod != 8*time.Second || g.KeeperPort != 7395 || g.Resources.MemoryMB != 284 || g.ModelLoadLimit.Window != 4*time.Second || g.Revocation != (Revocation{Strict: true, Bound: 5 * time.Second}) {
		t.Errorf("settings %+v", s)
	}
	if s, err = Parse("keeper", []byte(render(t, "keeper.yaml.tmpl"))); err != nil {
		t.Fatal(err)
	}
	if k, ok := s.(*Keeper); !ok || k.Endpoint.Address != "10.1.0.40:8145" || k.Store.Address != "10.200.1.7:8142" {
		t.Errorf("settings %+v", s)
	}
}

// TestFirstStartSetting guards against a restarted gateway that takes itself for one of a system that starts for the first time.
func TestFirstStartSetting(t *testing.T) {
	s, err := Parse("gateway", []byte(strings.ReplaceAll(render(t, "gateway.yaml.tmpl"), "  first_start: true\n", "")))
	if err != nil {
		t.Fatal(err)
	}
	if g, ok := s.(*Gateway); !ok || g.Retries.FirstStart {
		t.Errorf("settings %+v, want no first start", s)
	}
}

// TestRampSetting guards against limits for endpoints that have just started where the settings don't ask for them.
func TestRampSetting(t *testing.T) {
	base := strings.ReplaceAll(render(t, "gateway.yaml.tmpl"), "ramp: true\n", "")
	for text, want := range map[string]bool{"": false, "ramp: false\n": false, "ramp: true\n": true} {
		s, err := Parse("gateway", []byte(base+text))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.(*Gateway).Ramp; got != want {
			t.Errorf("%q: %t, want %t", text, got, want)
		}
	}
}

func TestGatewayProblems(t *testing.T) {
	good := render(t, "gateway.yaml.tmpl")
	for field, change := range map[string][2]string{
		"listen.callers":      {`"10.1.0.38:8149"`, `"nowhere"`},
		"keeper_port":         {"keeper_port: 7395", "keeper_port: 0"},
		"store.address":       {`"10.200.1.7:8142"`, `""`},
		"leave.unready":       {"unready: 2500ms", "unready: 9s"},
		"resources.memory_mb": {"memory_mb: 284", "memory_mb: 0"},
		"retries.window":      {"window: 10s", "window: 0s"},
		"loads.window":        {"window: 4s", "window: 0s"},
		"revocation.bound":    {"bound: 5000ms", "bound: 100ms"},
	} {
		_, err := Parse("gateway", []byte(strings.Replace(good, change[0], change[1], 1)))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v doesn't name the field", field, err)
		}
	}
}
