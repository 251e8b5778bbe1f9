// Command rig runs one case of the review: it starts gateways and keepers as separate processes
// beside stand-ins for the store, the runners and the clients, brings one disruption about and
// checks one rule from what clients and runners saw.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that hangs before the time that a script may run.
const runLimit = 115 * time.Second

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"burst":   burstCase,
	"forget":  forgetCase,
	"odd":     oddCase,
	"refused": refusedCase,
	"resume":  resumeCase,
	"joined":  joinedCase,
	"late":    lateCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, binary, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the record can't be written:", err)
		return exitNotRun
	}
	defer file.Close()
	rec := newRecord(file)
	defer rec.flush()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "no temporary folder:", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	f := newFleet(binary, dir, rec)
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", name, trouble)

	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](f, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var res result
	select {
	case res = <-done:
	case <-interrupted:
		res.err = errors.New("interrupted")
	case <-time.After(runLimit):
		res.err = errors.New("the case took too long")
	}
	switch {
	case res.err != nil:
		rec.add("the case could not run: %v", res.err)
		fmt.Println("not run:", res.err)
		return exitNotRun
	case res.broken:
		rec.add("verdict: the rule was broken")
		fmt.Println("broken:", rec.summary)
		return exitBroken
	default:
		rec.add("verdict: the rule held")
		fmt.Println("held:", rec.summary)
		return exitHeld
	}
}
