package proof

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"chervilhead/internal/config"
	"chervilhead/internal/coordination/store"
	"chervilhead/internal/protocol/plat"
	"chervilhead/internal/standin/crowd"
	"chervilhead/internal/standin/testbed"
	"chervilhead/internal/state/table"
)

const (
	// crowdMemory is the memory of the smallest host for processes that callers reach.
	crowdMemory    = 144 << 20
	crowdBodyBytes = 4 << 20
	// crowdDescriptors is a limit that a small crowd reaches.
	crowdDescriptors = 512
	crowdTimeout     = 30 * time.Second
	// keptDescriptors is how many more descriptors an entry may have after a crowd than before.
	keptDescriptors = 64
	// crowdKeyHash is the hash of the key in crowdHead.
	crowdKeyHash = "c08803baa052c860d21780c84ea0fc84ffcbdf66c9768a19117c35d2f4ee17a5"
)

func crowdHead(method, path string) func() string {
	return func() string {
		return method + " " + path + " HTTP/1.1\r\nHost: entry.example\r\nAuthorization: Bearer demo-registry\r\n"
	}
}

// crowdEntry is an entry process beside a stand-in of the platform.
type crowdEntry struct {
	t              *testing.T
	proc           *crowd.Process
	callers, admin string
}

func startCrowdEntry(t *testing.T) *crowdEntry {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "chervilhead")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "chervilhead/cmd/chervilhead").CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, out)
	}
	addrs, err := testbed.FreeAddresses(4)
	if err != nil {
		t.Fatal(err)
	}
	start := func(name string, descriptors int, settings any, args ...string) *crowd.Process {
		data, err := yaml.Marshal(settings)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, name+".yaml")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := crowd.StartProcess(filepath.Join(dir, name+".log"), descriptors, bin, append(args, "--settings", file)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Kill)
		return p
	}
	start("platform", 0, config.Platform{
		Role: "platform", Listen: addrs[0], HostLag: 100 * time.Millisecond, LoadsPerSecond: 2, LoadsAtOnce: 3,
		Hosts: []store.Host{{ID: "entry-1", Role: store.RoleEntry, Address: addrs[3], FailureDomain: "d1", State: store.HostLive}},
		Table: config.Table{
			Groups: []table.Group{{Name: "registry", Weight: 3, QueueBound: 256, PriorityCeiling: 9}},
			Models: []table.Model{{Name: "form-reader", Groups: []string{"registry"}, Version: "v1", MemoryBytes: 1 << 30, LeastCopies: 1}},
			Keys:   []table.Key{{Name: "registry", Group: "registry", Hash: crowdKeyHash}},
		},
	}, "standin", "platform")
	url := "http://" + addrs[0]
	e := &crowdEntry{t: t, callers: addrs[1], admin: addrs[2]}
	e.proc = start("entry", crowdDescriptors, config.Entry{
		Role: "entry", ID: "entry-1", FailureDomain: "d1", Listen: config.EntryListen{Callers: addrs[1], Admin: addrs[2], Peers: addrs[3]}, LogLevel: "error",
		Platform:  plat.Settings{Table: url, Objects: url, Weights: url, Hosts: url, Timeout: time.Second},
		Timing:    config.Timing{TablePoll: 100 * time.Millisecond, HostPoll: 100 * time.Millisecond, LeaseTerm: 2 * time.Second, OrderDelay: 200 * time.Millisecond},
		Limits:    config.RequestLimits{MaxBodyBytes: crowdBodyBytes, StartTimeout: 15 * time.Second},
		Resources: config.ResourceLimits{MemoryMB: crowdMemory >> 20},
	}, "entry")
	e.mustServe("before the crowd")
	return e
}

func (e *crowdEntry) mustServe(when string) {
	e.t.Helper()
	ctx, cancel := context.WithTimeout(e.t.Context(), crowdTimeout)
	defer cancel()
	if err := crowd.AskUntil(ctx, e.callers, crowdHead("GET", "/v1/models"), http.StatusOK); err != nil {
		e.t.Errorf("an ordinary request %s: %v", when, err)
	}
	if err := crowd.AskUntil(ctx, e.admin, crowdHead("GET", "/healthz"), http.StatusOK); err != nil {
		e.t.Errorf("a health check %s: %v", when, err)
	}
}

// TestCrowdAtEntry guards against an entry that exceeds its memory or descriptors while many clients send bodies, stop inside a request or stay silent.
func TestCrowdAtEntry(t *testing.T) {
	for _, tc := range []struct {
		name  string
		admin bool
		size  int
		path  string
		form  crowd.Form
	}{
		{"bodies_without_the_last_byte", false, 64, "/v1/chat/completions", crowd.Body{Announced: crowdBodyBytes, Sent: crowdBodyBytes - 1, Piece: 64 << 10}},
		{"large_chunks_without_end", false, 64, "/v1/chat/completions", crowd.Body{Sent: crowdBodyBytes - 64<<10, Piece: 64 << 10}},
		{"small_chunks_without_end", false, 64, "/v1/chat/completions", crowd.Body{Sent: crowdBodyBytes - 16, Piece: 16}},
		{"whole_bodies", false, 64, "/v1/chat/completions", crowd.Body{Announced: crowdBodyBytes, Sent: crowdBodyBytes, Piece: 64 << 10}},
		{"bodies_beyond_the_limit", false, 64, "/v1/chat/completions", crowd.Body{Sent: 4 * crowdBodyBytes, Piece: 64 << 10}},
		{"heads", false, 1500, "/v1/models", crowd.Head{Bytes: 15 << 10}},
		{"silent", false, 600, "/v1/models", crowd.Silent{}},
		{"refused", false, 600, "/none", crowd.Body{Announced: 1000, Sent: 999, Piece: 999}},
		{"unread", false, 600, "/v1/models", crowd.Unread{}},
		{"operators_bodies", true, 64, "/admin/v1/table/groups/x", crowd.Body{Sent: crowdBodyBytes, Piece: 64 << 10}},
		{"operators_silent", true, 600, "/healthz", crowd.Silent{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := startCrowdEntry(t)
			before, err := e.proc.Usage()
			if err != nil {
				t.Fatal(err)
			}
			target := e.callers
			if tc.admin {
				target = e.admin
			}
			method := "POST"
			if _, body := tc.form.(crowd.Body); !body {
				method = "GET"
			}
			for range 2 {
				c := crowd.Start(t.Context(), crowd.Settings{Address: target, Size: tc.size, Head: crowdHead(method, tc.path), Form: tc.form, Reconnect: tc.size > crowdDescriptors})
				c.WaitSent()
				e.mustServe("while the crowd stays")
				res := c.Close()
				t.Logf("the crowd got %v, %d connections ended without an answer", res.Statuses, res.Unanswered)
				e.mustServe("after the crowd")
			}
			for end := time.Now().Add(crowdTimeout); ; time.Sleep(50 * time.Millisecond) {
				u, err := e.proc.Usage()
				if err == nil && u.Descriptors <= before.Descriptors+keptDescriptors {
					break
				}
				if time.Now().After(end) {
					t.Errorf("%d descriptors after the crowd, %d before it", u.Descriptors, before.Descriptors)
					break
				}
			}
			peak, memory := e.proc.Peak()
			t.Logf("peaks: %d MB resident, %d MB unread, %d MB together, %d descriptors", peak.Resident>>20, peak.Unread>>20, memory>>20, peak.Descriptors)
			if !e.proc.Lives() {
				t.Error("the entry has ended")
			}
			if memory > crowdMemory {
				t.Errorf("memory of %d MB, the host has %d MB", memory>>20, crowdMemory>>20)
			}
			if peak.Descriptors > crowdDescriptors {
				t.Errorf("%d descriptors, the host has %d", peak.Descriptors, crowdDescriptors)
			}
		})
	}
}
