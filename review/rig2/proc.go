package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// proc is a gateway or keeper process.
type proc struct {
	name, role string
	bin, dir   string
	// front and ready are a gateway's addresses.
	front, ready string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopping is set once the process was sent a signal that ends it.
	stopping bool
	// unexpected counts the exits without such a signal.
	unexpected int
}

func (p *proc) settings() string { return filepath.Join(p.dir, p.name+".yaml") }

// start starts the process with the command of the deploy file.
func (p *proc) start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	defer log.Close()
	cmd := exec.Command(p.bin, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHERVILHEAD_NODE_FILE=" + p.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopping = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.stopping {
			p.unexpected++
		}
		close(exited)
	}()
	return nil
}

var errNotExited = errors.New("a process did not end within the grace period")

// stop sends a signal that ends the process, and SIGKILL after a time.
func (p *proc) stop(s syscall.Signal, grace time.Duration) error {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.stopping = true
	p.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
		return nil
	case <-time.After(grace):
	}
	_ = cmd.Process.Kill()
	<-exited
	return errNotExited
}
