package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt: one line for each event, with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7d ms  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// node is one process of the project, started with the command of the deploy file.
type node struct {
	name     string
	region   string
	zone     string
	voter    bool
	folder   string
	callers  string
	control  string // of a voter; the readiness address of an entry
	peer     string
	metrics  string
	settings string // path
	cmd      *exec.Cmd
	exited   chan struct{}
	started  bool
}

// cluster is a small deployment of the project on loopback addresses.
type cluster struct {
	folder string
	binary string
	rec    *record
	voters []*node
	fronts []*node
	gone   []*node           // machines that were removed for good
	zones  map[string]string // region of each zone
}

// zone is a place for nodes and servers.
type zone struct{ name, region string }

// Ports of processes lie below those that the kernel gives to outgoing connections, which might take one before its process
// listens.
const (
	firstPort = 12000
	lastPort  = 32000
)

var (
	// host is the loopback address of this run, so that runs beside each other share no ports.
	host  = fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	taken = map[int]bool{}
)

// freeAddress returns a loopback address with a port that is free now, another one at each call.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if taken[port] {
			continue
		}
		taken[port] = true
		addr := fmt.Sprintf("%s:%d", host, port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// newCluster places voters and fronts in the zones in turn. It starts nothing.
func newCluster(folder, binary string, rec *record, zones []zone, voters, fronts int) *cluster {
	c := &cluster{folder: folder, binary: binary, rec: rec, zones: map[string]string{}}
	for _, z := range zones {
		c.zones[z.name] = z.region
	}
	add := func(kind string, i int) *node {
		z := zones[i%len(zones)]
		n := &node{name: fmt.Sprintf("%s-%s-%d", kind, z.name, i+1), region: z.region, zone: z.name, voter: kind == "core", folder: filepath.Join(folder, fmt.Sprint(kind, i+1))}
		n.control, n.peer, n.metrics = freeAddress(), freeAddress(), freeAddress()
		if !n.voter {
			n.callers = freeAddress()
		}
		n.settings = filepath.Join(folder, n.name+".json")
		return n
	}
	for i := range voters {
		c.voters = append(c.voters, add("core", i))
	}
	for i := range fronts {
		c.fronts = append(c.fronts, add("front", i))
	}
	return c
}

func (c *cluster) nodes() []*node { return append(append([]*node{}, c.voters...), c.fronts...) }

// seeds returns the control addresses of the first three voters.
func (c *cluster) seeds() []string {
	var all []string
	for _, v := range c.voters[:min(3, len(c.voters))] {
		all = append(all, v.control)
	}
	return all
}

// values are what the platform fills into a settings template.
func (c *cluster) values(n *node) map[string]any {
	host, peerPort, _ := net.SplitHostPort(n.peer)
	v := map[string]any{
		"nodeId": n.name, "region": n.region, "zone": n.zone, "ip": host, "portRange.0": peerPort, "zones": c.zones, "seeds": c.seeds(),
		"listen.frontAddr": n.callers, "listen.readyAddr": n.control, "listen.control": n.control,
		"dataDir": n.folder, "bootstrap": !n.started, "heartbeatMs": 1200,
		"limits.memoryMb": 284, "bounds.budgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.budgetSlack": 58,
		"bounds.graceS": 8, "bounds.contactMs": 4000, "bounds.leaseMs": 3000,
	}
	return v
}

// render fills a settings template of the deploy file. It knows what these templates use: values, JSON values, and
// sections of one level that are present or absent.
func render(text string, values map[string]any) string {
	for {
		i := strings.Index(text, "{{#")
		if i < 0 {
			break
		}
		name := text[i+3 : i+strings.Index(text[i:], "}}")]
		end := "{{/" + name + "}}"
		j := strings.Index(text, end)
		body := text[i+len("{{#"+name+"}}") : j]
		if _, ok := values[name]; !ok {
			body = ""
		}
		text = text[:i] + body + text[j+len(end):]
	}
	for name, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(data))
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(value))
	}
	return text
}

// writeSettings writes the settings file of a node from the template of its role.
func (c *cluster) writeSettings(n *node) error {
	template := "deploy/entry.json"
	if n.voter {
		template = "deploy/voter.json"
	}
	data, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	text := render(string(data), c.values(n))
	// Nodes share one loopback address here, so each has a metrics port of its own.
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return fmt.Errorf("settings of %s: %w", n.name, err)
	}
	s["metrics"] = n.metrics
	if data, err = json.MarshalIndent(s, "", " "); err != nil {
		return err
	}
	return os.WriteFile(n.settings, data, 0o600)
}

// start starts a node, which appends its output to a log in the temporary folder.
func (c *cluster) start(n *node) error {
	if err := c.writeSettings(n); err != nil {
		return err
	}
	n.started = true
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.binary, "serve")
	cmd.Env = append(os.Environ(), "HICKORYRIDGE_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		err := cmd.Wait()
		c.rec.line("process %s ended: %v", n.name, err)
		close(exited)
	}(n.exited)
	c.rec.line("process %s started", n.name)
	return nil
}

// startAll starts all nodes.
func (c *cluster) startAll() error {
	for _, n := range c.nodes() {
		if err := c.start(n); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a node.
func (c *cluster) signal(n *node, s syscall.Signal) {
	c.rec.line("signal %v to %s", s, n.name)
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s) // the process may have ended
	}
}

// kill kills a node and waits for its end.
func (c *cluster) kill(n *node) {
	if n.cmd == nil {
		return
	}
	c.signal(n, syscall.SIGKILL)
	<-n.exited
	n.cmd = nil
}

// stop ends all nodes.
func (c *cluster) stop() {
	for _, n := range c.nodes() {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
	}
	for _, n := range c.nodes() {
		if n.cmd != nil {
			<-n.exited
		}
	}
}
