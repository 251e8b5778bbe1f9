package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
)

// proc is a gateway or keeper process.
type proc struct {
	name, role string
	bin, dir   string
	// callers and ready are a gateway's listen addresses; empty for a keeper.
	callers, ready string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// stopRequested is set once the current process was sent SIGTERM or SIGKILL.
	stopRequested bool
	// unexpectedExits counts the exits without such a signal.
	unexpectedExits int
	// faultSpans are the periods in which the process was killed, paused or restarting.
	faultSpans []span
}

// span is the period of a fault; a zero end means that the fault is still active.
type span struct{ from, to time.Time }

func (s span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

func newProc(name, role, bin, dir string, settings any) (*proc, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encode the settings of %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(dir, name+".yaml"), data, 0o600); err != nil {
		return nil, fmt.Errorf("write the settings of %s: %w", name, err)
	}
	return &proc{name: name, role: role, bin: bin, dir: dir}, nil
}

func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	defer log.Close()
	cmd := exec.Command(p.bin, p.role, "--settings", filepath.Join(p.dir, p.name+".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		if !p.stopRequested {
			p.unexpectedExits++
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested = true
	}
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process: by SIGKILL, or by SIGTERM if graceful, followed by SIGKILL after the
// grace period. It returns false if the grace period was exceeded.
func (p *proc) stop(graceful bool, grace time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	withinGrace := true
	if graceful {
		p.signal(syscall.SIGTERM)
		select {
		case <-exited:
			return true
		case <-time.After(grace):
			withinGrace = false
		}
	}
	p.signal(syscall.SIGKILL)
	<-exited
	return withinGrace
}

// beginFault records a fault of the process that lasts until the returned function is called.
func (p *proc) beginFault() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.faultSpans)
	p.faultSpans = append(p.faultSpans, span{from: time.Now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faultSpans[i].to = time.Now()
	}
}

// faultFree reports whether no fault of the process overlaps the period.
func (p *proc) faultFree(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.faultSpans {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}
