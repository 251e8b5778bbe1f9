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

// proc is one process of the product.
type proc struct {
	name, role string
	bin, dir   string
	// callers and ready are a gateway's addresses.
	callers, ready string

	mu  sync.Mutex
	cmd *exec.Cmd
	// gone closes when the running process has ended.
	gone chan struct{}
	// ends counts the ends that nobody asked for.
	asked bool
	ends  int
	// harmed are the times at which the process was killed, paused, ended or started.
	harmed []span
}

// span is a time in which something was wrong; a zero end means that it still is.
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
	gone := make(chan struct{})
	p.cmd, p.gone, p.asked = cmd, gone, false
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		if !p.asked {
			p.ends++
		}
		p.mu.Unlock()
		close(gone)
	}()
	return nil
}

// signal sends a signal to the running process, by its id.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.asked = true
	}
	_ = p.cmd.Process.Signal(s)
}

// end ends the process: at once, or as a stop does, within the grace. It returns false if
// the grace was not kept.
func (p *proc) end(planned bool, grace time.Duration) bool {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	if gone == nil {
		return true
	}
	kept := true
	if planned {
		p.signal(syscall.SIGTERM)
		select {
		case <-gone:
			return true
		case <-time.After(grace):
			kept = false
		}
	}
	p.signal(syscall.SIGKILL)
	<-gone
	return kept
}

// harm notes that something is wrong with the process until the returned function is called.
func (p *proc) harm() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.harmed)
	p.harmed = append(p.harmed, span{from: time.Now()})
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.harmed[i].to = time.Now()
	}
}

// sound reports whether nothing was wrong with the process in a time.
func (p *proc) sound(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.harmed {
		if s.overlaps(from, to) {
			return false
		}
	}
	return true
}
