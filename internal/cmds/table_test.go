package cmds

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/coordination/gossip"
	"chervilhead/internal/coordination/member"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/standin/pltsim"
	"chervilhead/internal/state/ident"
	"chervilhead/internal/state/table"
	"chervilhead/internal/transport/opsapi"
)

// varyingText matches output that differs between runs.
var varyingText = regexp.MustCompile(`20\d\d-[-0-9T:.]+Z|edit-[0-9a-f]{32}|"lag_ms": \d+|after \d[^ \n]*`)

// TestTableCommands guards against changed output, exit codes and errors of the table commands.
func TestTableCommands(t *testing.T) {
	faults := &pltsim.Faults{}
	st := pltsim.NewTable(faults)
	api := startAPI(t, st)
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "lose-replies":
			faults.LoseReplies(1)
			return ""
		case "away":
			faults.SetUnavailable(d.HasArg("on"))
			return ""
		case "write":
			if err := os.WriteFile(filepath.Join(dir, d.CmdArgs[0].Key), []byte(d.Input+"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			return ""
		case "read":
			b, err := os.ReadFile(filepath.Join(dir, d.CmdArgs[0].Key))
			if err != nil {
				t.Fatal(err)
			}
			return string(b)
		}
		args := strings.Fields(strings.ReplaceAll(d.Input, "DIR", dir))
		var out bytes.Buffer
		cmd := New()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"table", "--admin", api, "--key", "operator"}, args...))
		if err := cmd.ExecuteContext(t.Context()); err != nil {
			_, _ = fmt.Fprintf(&out, "exit %d: %v\n", ExitCode(err), err)
		}
		text := varyingText.ReplaceAllString(strings.ReplaceAll(out.String(), dir, "DIR"), "(varies)")
		// Aligned columns end in padding, which golden files do not keep.
		return regexp.MustCompile(`(?m) +$`).ReplaceAllString(text, "")
	})
}

func startAPI(t *testing.T, st *pltsim.Table) string {
	rows := table.New(0, []table.Group{{Name: "recall", Weight: 1, QueueBound: 256}, {Name: "registry", Weight: 3, QueueBound: 256}},
		[]table.Model{{Name: "corral", Groups: []string{"recall", "registry"}, Version: "v1", MemoryBytes: 1 << 30, LeastCopies: 2}},
		[]table.Service{{Name: "confirm", Groups: []string{"registry"}, NonIdempotent: []table.Route{{Method: "POST", Path: "/run"}}}},
		[]table.Key{{Name: "operator", Hash: ident.HashKey("operator"), Operator: true}})
	if _, err := edit.SeedTable(t.Context(), st, rows); err != nil {
		t.Fatal(err)
	}
	docs := gossip.NewStore()
	first, err := edit.LoadTable(t.Context(), st)
	if err != nil {
		t.Fatal(err)
	}
	docs.PutIfNewer(edit.TableDocument(first))
	faults := &pltsim.Faults{}
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetLevel(logrus.ErrorLevel)
	self := func() wire.Status {
		return wire.Status{ID: "entry-1", Role: "entry", Revision: docs.Get(gossip.KindTable).Version, RevisionAgeMillis: 5}
	}
	r := mux.NewRouter()
	opsapi.New(st, pltsim.NewObjects(faults), docs, member.NewWatcher(pltsim.NewHosts(faults, 0), time.Hour, log), nil, self, log).RegisterRoutes(r)
	srv := httptest.NewServer(r)
	t.Cleanup(srv.Close)
	return srv.URL
}
