package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// The daemon, as deploy/system.toml builds and runs it.
const (
	daemonPath    = "target/hickoryridge"
	settingsVar   = "HICKORYRIDGE_SETTINGS"
	callersPort   = 8144
	readyPort     = 8140
	controlPort   = 8146
	peerPort      = 7660
	metricsPort   = 9100
	seedCount     = 3
	startTimeout  = 20 * time.Second
	controlBound  = time.Second // a call to the control address that takes longer goes to the next machine
	pollInterval  = 50 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	contactBound  = 4000 * time.Millisecond
	drainBound    = 2500 * time.Millisecond
	entryMachines = 3
	restartDelay  = 300 * time.Millisecond
)

// zones are the installation's zones with their regions, and the zone of each machine of the core.
var (
	zones     = map[string]string{"pos-a": "north-trinidad", "sfdo-a": "south-trinidad", "scar-a": "tobago"}
	zoneOrder = []string{"pos-a", "sfdo-a", "scar-a"}
	coreZones = []string{"pos-a", "sfdo-a", "scar-a", "pos-a", "sfdo-a"}
)

// cluster is the system: machines that run the daemon as processes.
type cluster struct {
	folder   string
	rec      *record
	voters   []*machine
	entries  []*machine
	nextAddr int
	founded  bool // the system has started before

	mu       sync.Mutex
	stopping bool
}

// machine is one machine with its process.
type machine struct {
	name   string
	ip     string
	path   string // of the settings file
	cmd    *exec.Cmd
	exited chan struct{}
	ends   int // of the process by itself
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func newCluster(folder string, rec *record) *cluster { return &cluster{folder: folder, rec: rec} }

// loopback returns an unused loopback address. Runs at the same time have different ones.
func (c *cluster) loopback() string {
	c.nextAddr++
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()/250%64, 1+os.Getpid()%250, c.nextAddr)
}

// startAll starts the core and the entries, and waits until the operator's document is acknowledged and all entries are ready.
func (c *cluster) startAll(document map[string]any) error {
	var seeds []string
	for i := range coreZones {
		m := &machine{name: fmt.Sprintf("core-%d", i+1), ip: c.loopback()}
		if i < seedCount {
			seeds = append(seeds, m.addr(controlPort))
		}
		c.voters = append(c.voters, m)
	}
	for i := range entryMachines {
		m := &machine{name: fmt.Sprintf("frontend-%d", i+1), ip: c.loopback()}
		c.entries = append(c.entries, m)
	}
	for i, m := range c.voters {
		if err := c.writeSettings(m, coreZones[i], true, seeds); err != nil {
			return err
		}
	}
	for i, m := range c.entries {
		if err := c.writeSettings(m, zoneOrder[i%len(zoneOrder)], false, seeds); err != nil {
			return err
		}
	}
	for _, m := range c.machines() {
		if err := c.start(m); err != nil {
			return err
		}
	}
	if err := c.apply(document); err != nil {
		return err
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	for i, m := range c.voters { // the system is new at its first start only
		c.founded = true
		if err := c.writeSettings(m, coreZones[i], true, seeds); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings of a machine, as the templates of the deploy file make them.
func (c *cluster) writeSettings(m *machine, zone string, core bool, seeds []string) error {
	s := map[string]any{
		"instance": m.name, "region": zones[zone], "domain": zone, "peer": m.addr(peerPort), "metrics": m.addr(metricsPort),
		"seeds": seeds, "wire": "platform", "domains": zones,
		"routing": map[string]any{
			"cross": "2ms", "handover": "20ms", "move": "400us", "reread": "20ms", "homes": true, "fetch": true, "keep": "60s",
			"share": true, "spread": true, "failures": true, "place": true, "learn": true, "speeds": true, "stages": true,
			"permits": true, "facts": true, "defer": true, "prefill": 70000, "mixed": 26000,
		},
		"retries": map[string]any{"ratio": 0.2, "window": "10s", "slack": 58},
		"log":     map[string]any{"level": "info"},
	}
	timing := map[string]any{"grace": "8s", "heartbeat": "1200ms", "contact": "4000ms", "orders": "3000ms"}
	if core {
		s["control"] = m.addr(controlPort)
		s["data"] = filepath.Join(c.folder, "data-"+m.name)
		s["found"] = !c.founded
		s["limits"] = map[string]any{"memory": 280_000_000}
	} else {
		s["control"] = m.addr(readyPort)
		s["callers"] = m.addr(callersPort)
		s["limits"] = map[string]any{"memory": 284_000_000, "unread": 65536}
		timing["linger"] = "2500ms"
		timing["hold"] = "1s"
	}
	s["timing"] = timing
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	m.path = filepath.Join(c.folder, m.name+".json")
	return os.WriteFile(m.path, data, 0o600)
}

// start starts the process of a machine.
func (c *cluster) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(daemonPath, "serve")
	cmd.Env = []string{settingsVar + "=" + m.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	m.cmd, m.exited = cmd, exited
	go func() {
		_ = cmd.Wait()  // its state is recorded
		_ = log.Close() // nothing is written any more
		c.ended(m, cmd.ProcessState)
		close(exited)
	}()
	c.rec.note("started %s, process %d", m.name, cmd.Process.Pid)
	return nil
}

// ended records the end of a process. The platform restarts what ends by itself, after a short delay.
func (c *cluster) ended(m *machine, state *os.ProcessState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping {
		return
	}
	m.ends++
	c.rec.note("%s ended by itself: %v", m.name, state)
	time.AfterFunc(restartDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.stopping {
			return
		}
		if err := c.start(m); err != nil {
			c.rec.note("%s: %v", m.name, err)
		}
	})
}

// endsOf returns how often the process of a machine has ended by itself.
func (c *cluster) endsOf(m *machine) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.ends
}

// machines returns all machines.
func (c *cluster) machines() []*machine { return append(slices.Clone(c.voters), c.entries...) }

// stopAll kills all processes.
func (c *cluster) stopAll() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	for _, m := range c.machines() {
		if m.cmd == nil {
			continue
		}
		_ = m.cmd.Process.Kill() // may have ended
		<-m.exited
	}
}

// apply sends a document to the core until it is acknowledged.
func (c *cluster) apply(document map[string]any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		for _, m := range c.voters {
			status, text := c.control(m, http.MethodPut, "/-/config", body)
			if status == http.StatusOK {
				c.rec.note("operator: version %v acknowledged by %s", document["version"], m.name)
				return nil
			}
			if status >= 400 && status < 500 {
				return fmt.Errorf("operator: %d %s", status, text)
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.New("the document was not acknowledged")
}

// control makes one call to the control address of a machine. The status is 0 if there was no answer.
func (c *cluster) control(m *machine, method, path string, body []byte) (status int, text string) {
	client := http.Client{Timeout: controlBound, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+m.addr(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }() // was read
	data, _ := io.ReadAll(resp.Body)         // the status matters
	return resp.StatusCode, string(data)
}

// awaitReady waits until all entries say that they are ready.
func (c *cluster) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	client := http.Client{Timeout: controlBound, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range c.entries {
		for {
			resp, err := client.Get("http://" + m.addr(readyPort) + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close() // only the status matters
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(pollInterval)
		}
		c.rec.note("%s is ready", m.name)
	}
	return nil
}
