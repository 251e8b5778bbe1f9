package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime bounds a case; what it started is ended then.
const maxCaseTime = 112 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	// why says what the rule allows and what was counted.
	why string
}

// cases are the cases by name.
var cases = map[string]func(f *fleet, trouble bool) (verdict, error){
	"long-prompt":   longPrompt,
	"first-part":    firstPart,
	"encoded-slash": encodedSlash,
	"equal-request": equalRequest,
	"first-event":   firstEvent,
	"idle-drop":     idleDrop,
}

func main() { os.Exit(run()) }

func run() int {
	bin := flag.String("bin", "target/chervilhead", "the product's program")
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "no case %q; there are %s\n", *name, strings.Join(names, ", "))
		return exitNotRun
	}
	rec, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.notef("case %s, trouble %v", *name, trouble)
	f, err := newFleet(*bin, rec)
	if err != nil {
		return notRun(rec, err)
	}
	defer f.close()
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(f, trouble)
		done <- result{v, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
		return notRun(rec, errors.New("the case was stopped"))
	case r := <-done:
		if r.err == nil {
			r.err = f.unexpectedExit()
		}
		if r.err != nil {
			return notRun(rec, r.err)
		}
		return report(rec, r.v)
	case <-time.After(maxCaseTime):
		return notRun(rec, errors.New("the case took too long"))
	}
}

func notRun(rec *record, err error) int {
	rec.notef("NOT RUN: %v", err)
	fmt.Println("not run:", err)
	return exitNotRun
}

func report(rec *record, v verdict) int {
	word, code := "held", exitHeld
	if v.broken {
		word, code = "BROKEN", exitBroken
	}
	rec.notef("%s: %s", word, v.why)
	fmt.Printf("%s: %s\n", word, v.why)
	return code
}
