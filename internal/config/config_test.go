package config

import (
	"errors"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestParse guards against wrong settings that are accepted and against errors without a
// line, field or remedy.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse.txt", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("settings.yaml", []byte(d.Input))
		if err == nil {
			return fmt.Sprintf("ok %T\n", s)
		}
		var ce *Error
		if !errors.As(err, &ce) || ce.Line == 0 || ce.Remedy == "" {
			t.Errorf("%s: error %v lacks its line or remedy", d.Pos, err)
		}
		return err.Error() + "\n"
	})
}

// TestExamples guards against example files that are rejected or whose addresses overlap.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(paths) < 8 {
		t.Fatalf("found %d examples, error %v", len(paths), err)
	}
	var all []Settings
	for _, p := range paths {
		s, err := Load(p)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	if err := CheckAddressOverlap(paths, all); err != nil {
		t.Fatal(err)
	}
}

// FuzzParse guards against settings that crash the decoder.
func FuzzParse(f *testing.F) {
	f.Add([]byte("role: demo\nlisten: 127.0.0.1:1\n"))
	f.Add([]byte("role: entry\nlisten:\n  callers: [\n"))
	f.Add([]byte("role: platform\nhosts:\n - {id: a}\n"))
	f.Add([]byte("role: agent\nplatform: {timeout: 5}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("settings.yaml", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
