package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process uses at one moment.
type Usage struct {
	// Resident is its resident memory, and Unread what its sockets have received and it has not
	// read, in bytes.
	Resident, Unread int64
	// PeakResident is the highest resident memory since the start of the process.
	PeakResident int64
	// Descriptors is the number of its open descriptors.
	Descriptors int
}

// Memory returns the bytes that count toward the limit of the process's host.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// Process is a process of the product.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}

	mu   sync.Mutex
	peak Usage
	// peakMemory is the highest memory that was seen at one moment.
	peakMemory int64
}

// sampleInterval is the pause between two looks at a process.
const sampleInterval = 20 * time.Millisecond

// StartProcess starts a program with at most maxDescriptors open descriptors, or as many as this
// process if that is 0; its output goes to a file.
func StartProcess(logFile string, maxDescriptors int, program string, args ...string) (*Process, error) {
	out, err := os.Create(logFile)
	if err != nil {
		return nil, fmt.Errorf("create a log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	if maxDescriptors > 0 {
		shell := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, maxDescriptors)
		cmd = exec.Command("/bin/sh", append([]string{"-c", shell, program}, args...)...)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	go p.watch()
	return p, nil
}

// Lives reports whether the process still runs.
func (p *Process) Lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Peak returns the highest values since the start, and the highest memory at one moment.
func (p *Process) Peak() (Usage, int64) {
	p.sample()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak, p.peakMemory
}

func (p *Process) watch() {
	for p.Lives() {
		p.sample()
		time.Sleep(sampleInterval)
	}
}

func (p *Process) sample() {
	u, err := p.Usage()
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.Resident, p.peak.Unread = max(p.peak.Resident, u.PeakResident), max(p.peak.Unread, u.Unread)
	p.peak.Descriptors = max(p.peak.Descriptors, u.Descriptors)
	p.peakMemory = max(p.peakMemory, u.Memory(), u.PeakResident)
}

// Usage returns what the process uses now.
func (p *Process) Usage() (Usage, error) { return UsageOf(p.cmd.Process.Pid) }

// UsageOf returns what a process uses now.
func UsageOf(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return Usage{}, err
	}
	var u Usage
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 || f[0] != "VmRSS:" && f[0] != "VmHWM:" {
			continue
		}
		kb, err := strconv.ParseInt(f[1], 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("resident memory: %w", err)
		}
		if f[0] == "VmRSS:" {
			u.Resident = kb << 10
		} else {
			u.PeakResident = kb << 10
		}
	}
	sockets := map[string]bool{}
	list, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return Usage{}, err
	}
	u.Descriptors = len(list)
	for _, e := range list {
		if name, err := os.Readlink(filepath.Join(dir, "fd", e.Name())); err == nil {
			if inode, ok := strings.CutPrefix(name, "socket:["); ok {
				sockets[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	table, err := os.ReadFile(filepath.Join(dir, "net", "tcp"))
	if err != nil {
		return Usage{}, err
	}
	u.Unread = unreadBytes(string(table), sockets)
	return u, nil
}

// unreadBytes adds up the receive queues of sockets, and of connections to their listening
// addresses that aren't accepted yet, from the kernel's table.
func unreadBytes(table string, sockets map[string]bool) int64 {
	const (
		localColumn, stateColumn, queueColumn, inodeColumn = 1, 3, 4, 9
		listening                                          = "0A"
	)
	listens := map[string]bool{}
	var rows [][]string
	for line := range strings.Lines(table) {
		if f := strings.Fields(line); len(f) > inodeColumn {
			rows = append(rows, f)
			if f[stateColumn] == listening && sockets[f[inodeColumn]] {
				listens[f[localColumn]] = true
			}
		}
	}
	var sum int64
	for _, f := range rows {
		waiting := f[inodeColumn] == "0" && listens[f[localColumn]]
		if f[stateColumn] == listening || !sockets[f[inodeColumn]] && !waiting {
			continue
		}
		_, queue, _ := strings.Cut(f[queueColumn], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}
