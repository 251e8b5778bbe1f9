package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the scenarios by name; each reports whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"crashing-request": crashingRequest,
	"deadly-part":      deadlyPartAfterEvent,
	"doubtful-version": doubtfulVersion,
	"ended-limit":      endedLimit,
	"frozen-release":   frozenRelease,
	"restored-drain":   restoredDrain,
}

// The exit statuses of a case.
const (
	held = iota
	broke
	unplayed
)

func main() { os.Exit(play(os.Args[1:])) }

// play plays a case, whose record is written to a file, and returns the exit status.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return unplayed
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.killAll()
		os.Exit(unplayed)
	}()
	broken, err := cases[args[0]](w)
	switch {
	case err != nil:
		w.note("result", "not played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	case broken:
		w.note("result", "the rule was broken")
		return broke
	default:
		w.note("result", "the rule held")
		return held
	}
}
