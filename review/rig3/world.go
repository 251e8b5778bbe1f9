package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilhead/platform/stub"
)

const (
	heartbeat = 1200 * time.Millisecond
	graceTime = 8 * time.Second
	program   = "target/chervilhead"
)

// world is one small deployment: the platform's store, servers, and processes of the project.
type world struct {
	dir     string
	store   *stub.Store
	began   time.Time
	trouble bool
	net     int
	ports   [2]int

	mu      sync.Mutex
	record  *os.File
	hosts   int
	procs   []*proc
	runners []*runner
	config  stub.Config
}

// newWorld returns a deployment without processes; its record is written to a file.
func newWorld(recordFile string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: stub.NewStore(), began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", net: 20 + os.Getpid()%200, record: f}
	if w.ports, err = freePorts(w.host()); err != nil {
		return nil, err
	}
	w.note("start", "trouble=%v", w.trouble)
	return w, nil
}

// host returns a further loopback address, which stands for one machine.
func (w *world) host() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", w.net, os.Getpid()/200%200, w.hosts)
}

// freePorts returns two ports that are free on a host for TCP and UDP, other than those in use there.
func freePorts(host string, used ...int) ([2]int, error) {
	var out [2]int
	for i := 0; i < len(out); {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return out, err
		}
		defer l.Close()
		c, err := net.ListenPacket("udp4", l.Addr().String())
		if err != nil {
			continue
		}
		defer c.Close()
		if p := l.Addr().(*net.TCPAddr).Port; !slices.Contains(used, p) {
			out[i] = p
			i++
		}
	}
	return out, nil
}

// note writes a line to the record.
func (w *world) note(what, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-10s %s\n", time.Since(w.began).Seconds(), what, fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
}

// configure writes a configuration to the store, as the operator does.
func (w *world) configure(change func(*stub.Config)) {
	w.mu.Lock()
	w.config.Version += 3
	change(&w.config)
	data, err := json.Marshal(w.config)
	w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	w.store.PutRaw("op", "", "config", data)
	w.note("operator", "configuration %d acknowledged", w.config.Version)
}

// settings are the fields from which the platform fills in the templates of the deploy file.
type settings map[string]any

// bounds are those of the users' sheet of the race results deployment.
func bounds() settings {
	return settings{"stableMs": 4000, "graceS": 8, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 102, "ceilingWindowS": 5}
}

func (s settings) get(path string) any {
	var v any = s
	for _, k := range strings.Split(path, ".") {
		switch x := v.(type) {
		case settings:
			v = x[k]
		case []int:
			i, err := strconv.Atoi(k)
			if err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

var (
	sectionOf = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}\n?(.*?)\{\{/([\w.]+)\}\}\n?`)
	valueOf   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file.
func (s settings) render(text string) string {
	text = sectionOf.ReplaceAllStringFunc(text, func(m string) string {
		parts := sectionOf.FindStringSubmatch(m)
		if v := s.get(parts[1]); v == nil || v == false {
			return ""
		}
		return parts[2]
	})
	return valueOf.ReplaceAllStringFunc(text, func(m string) string {
		parts := valueOf.FindStringSubmatch(m)
		v := s.get(parts[1])
		if parts[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

// proc is a process of the project on a machine of its own.
type proc struct {
	w     *world
	name  string
	role  string
	file  string
	front string
	ready string
	link  *stub.Listener

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	expects bool
}

// addGateway starts a gateway on a further machine.
func (w *world) addGateway() (*proc, error) {
	ip := w.host()
	ports, err := freePorts(ip, w.ports[0], w.ports[1])
	if err != nil {
		return nil, err
	}
	p := &proc{w: w, name: fmt.Sprintf("frontend-%s", ip), role: "gateway"}
	p.front, p.ready = net.JoinHostPort(ip, strconv.Itoa(ports[0])), net.JoinHostPort(ip, strconv.Itoa(ports[1]))
	return p, w.addProc(p, ip, settings{"listen": settings{"front": p.front, "ready": p.ready}})
}

// addKeeper starts a keeper on the machine of an engine.
func (w *world) addKeeper(r *runner) (*proc, error) {
	ip, _, err := net.SplitHostPort(r.address)
	if err != nil {
		return nil, err
	}
	p := &proc{w: w, name: fmt.Sprintf("side-%s", ip), role: "keeper"}
	return p, w.addProc(p, ip, settings{"service": r.service, "app": r.address})
}

func (w *world) addProc(p *proc, ip string, own settings) error {
	link, err := w.store.Listen()
	if err != nil {
		return err
	}
	p.link = link
	s := settings{
		"nodeName": p.name, "zone": "charguia", "ip": ip, "internalPorts": []int{w.ports[0], w.ports[1]}, "platform": settings{"address": link.Address},
		"bounds": bounds(), "bootstrap": true, "limits": settings{"memoryMb": 284, "maxFds": 4100},
	}
	maps.Copy(s, own)
	text, err := os.ReadFile(filepath.Join("deploy", p.role+".yaml.tmpl"))
	if err != nil {
		return err
	}
	p.file = filepath.Join(w.dir, p.name+".yaml")
	if err := os.WriteFile(p.file, []byte(s.render(string(text))), 0o600); err != nil {
		return err
	}
	if err := p.start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return nil
}

// start starts the process, and again each time that it ends by itself.
func (p *proc) start() error {
	log, err := os.OpenFile(p.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.w.dir, "CHERVILHEAD_NODE_FILE=" + p.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	p.cmd, p.done, p.expects = cmd, done, false
	p.w.note("process", "%s started", p.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		close(done)
		p.mu.Lock()
		expected := p.expects
		p.mu.Unlock()
		p.w.note("process", "%s ended, expected %v: %v", p.name, expected, err)
		if !expected {
			time.Sleep(500 * time.Millisecond)
			_ = p.start()
		}
	}()
	return nil
}

// signal sends a signal to the process; ends says that it ends it.
func (p *proc) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expects = p.expects || ends
	p.w.note("signal", "%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

var errNotReady = errors.New("the gateways are not ready")

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, p := range w.procs {
			ready = ready && (p.role != "gateway" || p.isReady())
		}
		if ready {
			w.note("platform", "all gateways are ready")
			return nil
		}
	}
	return errNotReady
}

func (p *proc) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// killAll ends all processes, without waiting for their ends.
func (w *world) killAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		p.mu.Lock()
		p.expects = true
		_ = p.cmd.Process.Kill()
		p.mu.Unlock()
	}
}

// close ends all processes and servers.
func (w *world) close() {
	for _, p := range w.procs {
		p.mu.Lock()
		p.expects = true
		_ = p.cmd.Process.Kill()
		done := p.done
		p.mu.Unlock()
		<-done
		p.link.Close()
	}
	for _, r := range w.runners {
		r.stop()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
