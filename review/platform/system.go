package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of every machine, below the system's range for outgoing connections. Each machine has a loopback address of its
// own.
var (
	frontPort   = 12_000 + 4*rand.IntN(5_000)
	readyPort   = frontPort + 1
	controlPort = frontPort + 2
	peerPort    = frontPort + 3
)

const (
	zone   = "pos-a"
	region = "north-trinidad"
	host   = "lab.example"
	// startTimeout bounds the start of the whole system.
	startTimeout = 20 * time.Second
)

// machine is a machine of the platform with one process of the system.
type machine struct {
	name   string
	ip     string
	core   bool
	folder string
	seeds  []string
	first  bool // the next start is the first one of the whole system
	cmd    *exec.Cmd
	exited chan struct{}
}

// system is a small deployment: machines of class core and frontend, and an operator.
type system struct {
	folder   string
	net      string // first three numbers of all addresses
	next     int    // last number of the next address
	cores    []*machine
	fronts   []*machine
	operator http.Client
}

// newSystem starts a deployment in a temporary folder and puts its first manifest.
func newSystem(cores, fronts int, manifest string) (*system, error) {
	folder, err := os.MkdirTemp("", "hickoryridge-review")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)), operator: http.Client{Timeout: time.Second}}
	var seeds []string
	for i := range cores {
		m := &machine{name: fmt.Sprint("core-", i+1), ip: s.address(), core: true, folder: folder, first: true}
		s.cores = append(s.cores, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control())
		}
	}
	for i := range fronts {
		s.fronts = append(s.fronts, &machine{name: fmt.Sprint("frontend-", i+1), ip: s.address(), folder: folder, first: true})
	}
	for _, m := range s.machines() {
		m.seeds = seeds
		if err := m.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitManifest(manifest)
}

// address returns an unused loopback address.
func (s *system) address() string {
	s.next++
	return fmt.Sprintf("%s.%d", s.net, s.next)
}

func (s *system) machines() []*machine { return append(append([]*machine{}, s.cores...), s.fronts...) }

// stop ends all processes of the deployment and removes its folder.
func (s *system) stop() {
	for _, m := range s.machines() {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// putManifest sends a manifest to a machine that serves the operator.
func (s *system) putManifest(m *machine, manifest string) (int, error) {
	req, err := http.NewRequest(http.MethodPut, "http://"+m.control()+"/-/config", strings.NewReader(manifest))
	if err != nil {
		return 0, err
	}
	resp, err := s.operator.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// awaitManifest sends the first manifest until it is acknowledged, and waits until all frontends are ready.
func (s *system) awaitManifest(manifest string) error {
	deadline := time.Now().Add(startTimeout)
	for n := 0; ; n++ {
		if status, err := s.putManifest(s.cores[n%len(s.cores)], manifest); err == nil && status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first manifest was not acknowledged within %v", startTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, m := range s.fronts {
		for !s.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s was not ready within %v", m.name, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// ready reports whether a frontend says that it is ready.
func (s *system) ready(m *machine) bool {
	resp, err := s.operator.Get(fmt.Sprintf("http://%s:%d/-/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) dataDir() string { return filepath.Join(m.folder, m.name+"-data") }
func (m *machine) boot() string    { return filepath.Join(m.folder, m.name+".conf") }

// fields returns the fields with which the platform fills in the template of the machine's role.
func (m *machine) fields() map[string]any {
	return map[string]any{
		"nodeId": m.name, "region": region, "zone": zone, "zones": map[string]string{zone: region}, "ip": m.ip,
		"listen.frontAddr": m.front(), "listen.readyAddr": fmt.Sprintf("%s:%d", m.ip, readyPort), "listen.control": m.control(),
		"portRange.0": peerPort, "dataDir": m.dataDir(), "seeds": m.seeds, "bootstrap": m.first,
		"limits.memoryMb": 284, "heartbeatMs": 1200, "bounds.budgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.budgetSlack": 58,
		"bounds.graceS": 8, "bounds.contactMs": 4000, "bounds.leaseMs": 3000,
	}
}

var (
	sections     = regexp.MustCompile(`\{\{[#/][^}]*\}\}`)
	placeholders = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// writeSettings fills in the template of the machine's role in the project's deploy folder.
func (m *machine) writeSettings() error {
	name := "entry.json"
	if m.core {
		name = "voter.json"
	}
	template, err := os.ReadFile(filepath.Join("deploy", name))
	if err != nil {
		return err
	}
	fields := m.fields()
	filled := placeholders.ReplaceAllFunc(sections.ReplaceAll(template, nil), func(p []byte) []byte {
		parts := placeholders.FindSubmatch(p)
		if len(parts[2]) == 0 {
			return fmt.Append(nil, fields[string(parts[1])])
		}
		data, err := json.Marshal(fields[string(parts[1])])
		if err != nil {
			return nil
		}
		return data
	})
	return os.WriteFile(m.boot(), bytes.TrimSpace(filled), 0o600)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.Command("target/hickoryridge", "serve")
	m.cmd.Env = append(os.Environ(), "HICKORYRIDGE_SETTINGS="+m.boot())
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.first = false
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	go func() {
		_ = cmd.Wait() // a killed process has no exit status of interest
		close(exited)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) } // it may have ended

// running reports whether the machine's process has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}
