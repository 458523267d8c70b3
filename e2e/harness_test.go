package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/demo"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/operator"
	"github.com/hickoryridge/hickoryridge/settings"
)

// awaitTime bounds the wait for a condition. It is far above what any needs.
const awaitTime = 60 * time.Second

var daemon string // path of the daemon's binary

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hickoryridge-e2e")
	if err != nil {
		panic(err)
	}
	daemon = filepath.Join(folder, "hickoryridge")
	args := append(append([]string{"build"}, buildFlags...), "-o", folder, "../cmd/hickoryridge", "../cmd/hickoryctl")
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// node is one instance as a process.
type node struct {
	id       ident.InstanceID
	settings settings.Settings
	path     string
	log      string
	cmd      *exec.Cmd
	exited   chan error
}

// cluster is a set of instances and fake targets.
type cluster struct {
	t          testing.TB
	folder     string
	nodes      []*node
	relays     map[[2]int]*relay
	engines    []*standin.Engine
	services   []*standin.Service
	leave      []context.CancelFunc // of the targets, engines first
	announcers []*standin.Announcer // likewise
	scheme     string               // of the callers\' URLs
	document   desired.Document
	number     ident.DocumentNumber
}

var regions = []string{"north", "south", "tobago"}

// Ports for instances lie below those that the system gives to outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 12000
	portSpan  = 18000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 101 % portSpan) }

// freePorts returns n addresses that nothing listens on.
func freePorts(t testing.TB, n int) []string {
	t.Helper()
	var addrs []string
	for len(addrs) < n {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portSpan)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		addrs = append(addrs, addr)
	}
	return addrs
}

// newCluster starts n instances, the first voters of which are voters. With
// relayed set, connections between instances can be cut.
func newCluster(t testing.TB, n, voters int, relayed bool) *cluster {
	t.Helper()
	return newClusterWith(t, n, voters, relayed, func(*settings.Settings) {})
}

// newClusterWith is newCluster with changed settings.
func newClusterWith(t testing.TB, n, voters int, relayed bool, change func(*settings.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, scheme: "http://", folder: t.TempDir(), relays: map[[2]int]*relay{}}
	ports := freePorts(t, 3*n)
	for i := range n {
		c.nodes = append(c.nodes, &node{id: ident.InstanceID(fmt.Sprint("i", i+1))})
		nd := c.nodes[i]
		nd.settings = settings.Settings{
			Instance: nd.id, Region: ident.RegionID(regions[i%3]), Domain: ident.DomainID(regions[i%3] + "-a"),
			Callers: ports[3*i], Control: ports[3*i+1], Peer: ports[3*i+2],
			Log: settings.Log{Level: "debug"},
		}
		if i < voters {
			nd.settings.Data = filepath.Join(c.folder, string(nd.id))
		}
		nd.path = filepath.Join(c.folder, string(nd.id)+".json")
		nd.log = filepath.Join(c.folder, string(nd.id)+".log")
	}
	for i, nd := range c.nodes {
		for j, other := range c.nodes {
			if i == j {
				continue
			}
			addr := other.settings.Peer
			if relayed {
				r := newRelay(t, addr)
				c.relays[[2]int{i, j}] = r
				addr = r.addr
			}
			nd.settings.Peers = append(nd.settings.Peers, settings.Peer{Instance: other.id, Address: addr, Voter: j < voters})
		}
		change(&nd.settings)
		data, err := json.Marshal(nd.settings)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(nd.path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		c.start(i)
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	for _, leave := range c.leave {
		leave()
	}
	for i := range c.nodes {
		c.kill(i)
	}
	for _, e := range c.engines {
		e.Close()
	}
	for _, s := range c.services {
		s.Close()
	}
	for _, nd := range c.nodes {
		if data, err := os.ReadFile(nd.log); err == nil && bytes.Contains(data, []byte("DATA RACE")) {
			c.t.Errorf("%s has a data race", nd.id)
		}
	}
	if !c.t.Failed() {
		return
	}
	for _, nd := range c.nodes {
		data, err := os.ReadFile(nd.log)
		if err == nil {
			c.t.Logf("log of %s, its end:\n%s", nd.id, data[max(0, len(data)-4000):])
		}
	}
}

func (c *cluster) start(i int) {
	c.t.Helper()
	nd := c.nodes[i]
	f, err := os.OpenFile(nd.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	nd.cmd = exec.Command(daemon, "serve", "-settings", nd.path)
	nd.cmd.Stdout, nd.cmd.Stderr = f, f
	if err := nd.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	nd.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan error) {
		exited <- cmd.Wait()
		_ = f.Close()
	}(nd.cmd, nd.exited)
}

func (c *cluster) signal(i int, s syscall.Signal) {
	if p := c.nodes[i].cmd; p != nil {
		_ = p.Process.Signal(s) // it may have ended
	}
}

// kill ends an instance at once and waits for its end.
func (c *cluster) kill(i int) {
	nd := c.nodes[i]
	if nd.cmd == nil {
		return
	}
	c.signal(i, syscall.SIGKILL)
	<-nd.exited
	nd.cmd = nil
}

// term asks an instance to stop and returns its exit.
func (c *cluster) term(i int) error {
	nd := c.nodes[i]
	c.signal(i, syscall.SIGTERM)
	err := <-nd.exited
	nd.cmd = nil
	return err
}

// wipe deletes the data folder of an instance that is down.
func (c *cluster) wipe(i int) {
	c.t.Helper()
	if err := os.RemoveAll(c.nodes[i].settings.Data); err != nil {
		c.t.Fatal(err)
	}
}

// isolate cuts or restores every connection of an instance with the others.
func (c *cluster) isolate(i int, cut bool) {
	for pair, r := range c.relays {
		if pair[0] == i || pair[1] == i {
			r.cut.Store(cut)
		}
	}
}

func (c *cluster) callers(i int) string { return c.scheme + c.nodes[i].settings.Callers }
func (c *cluster) control(i int) string { return "http://" + c.nodes[i].settings.Control }

func (c *cluster) controls() []string {
	var all []string
	for _, nd := range c.nodes {
		all = append(all, nd.settings.Control)
	}
	return all
}

// addTargets starts fake engines and services that announce themselves.
func (c *cluster) addTargets(engines, services int, cfg standin.EngineConfig) {
	c.t.Helper()
	cfg.Model, cfg.Version = "advisor-model", "v1"
	if cfg.Role == "" {
		cfg.Role = desired.RoleMixed
	}
	if cfg.Rates == (standin.Rates{}) {
		cfg.Rates = standin.DefaultRates()
	}
	first := len(c.engines)
	for i := range engines {
		e, err := standin.StartEngine("127.0.0.1:0", cfg)
		if err != nil {
			c.t.Fatal(err)
		}
		c.engines = append(c.engines, e)
		c.announce(&standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("engine-", first+i+1)), Service: "darkroom-advisor",
			Address: e.Addr(), Incarnation: e.Incarnation(), Engine: e,
		}, i)
	}
	for i := range services {
		s, err := standin.StartService("127.0.0.1:0")
		if err != nil {
			c.t.Fatal(err)
		}
		c.services = append(c.services, s)
		c.announce(&standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("desk-", i+1)), Service: "desk", Address: s.Addr(), Incarnation: 1,
		}, i)
	}
}

func (c *cluster) announce(a *standin.Announcer, i int) {
	a.Region, a.Domain = ident.RegionID(regions[i%3]), ident.DomainID(regions[i%3]+"-a")
	a.Controls = c.controls()
	ctx, cancel := context.WithCancel(context.Background())
	c.leave = append(c.leave, cancel)
	c.announcers = append(c.announcers, a)
	go a.Run(ctx)
}

// await repeats f until it reports true.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTime)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %v", what, awaitTime)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// httpClient keeps no connections, so that a dead instance's are not used again.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: awaitTime}

func do(method, url string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("X-Tenant", "tobago")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// apply puts the document under the next number until it is in force.
func (c *cluster) apply(through int) {
	c.t.Helper()
	c.number++
	c.document.Number = c.number
	data, _, err := c.document.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.await("apply", func() bool {
		return do(http.MethodPut, c.control(through)+"/v1/desired", nil, data).status == http.StatusOK
	})
}

// up waits for a leader, applies the Association's document and waits until every
// instance serves and knows every target.
func (c *cluster) up() {
	c.t.Helper()
	doc, faults := desired.Parse(examples.Association)
	if len(faults) > 0 {
		c.t.Fatal(faults)
	}
	c.document = *doc
	c.apply(0)
	for i := range c.nodes {
		c.awaitReady(i)
	}
}

func (c *cluster) awaitReady(i int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%s ready with %d targets", c.nodes[i].id, len(c.leave)), func() bool {
		return do(http.MethodGet, c.callers(i)+"/readyz", nil, nil).status == http.StatusOK && c.usable(i) == len(c.leave)
	})
}

// usable returns the number of targets that an instance would use.
func (c *cluster) usable(i int) int {
	var list []operator.Target
	a := do(http.MethodGet, c.control(i)+"/v1/targets", nil, nil)
	if a.err != nil || json.Unmarshal(a.body, &list) != nil {
		return -1
	}
	n := 0
	for _, t := range list {
		if t.Usable {
			n++
		}
	}
	return n
}

// report returns the leader's report as asked through an instance.
func (c *cluster) report(through int) (instance.Report, bool) {
	var st operator.Status
	var r instance.Report
	a := do(http.MethodGet, c.control(through)+"/v1/status", nil, nil)
	if a.err != nil || json.Unmarshal(a.body, &st) != nil || st.Quorum == nil {
		return r, false
	}
	return r, json.Unmarshal(st.Quorum, &r) == nil
}

// leader waits for a leader and returns its position.
func (c *cluster) leader(through int) int {
	c.t.Helper()
	found := -1
	c.await("a leader", func() bool {
		r, ok := c.report(through)
		for i, nd := range c.nodes {
			if ok && nd.id == r.Leader {
				found = i
			}
		}
		return ok
	})
	return found
}

// other returns an instance that is none of the given ones.
func (c *cluster) other(not ...int) int {
	for i := range c.nodes {
		free := true
		for _, n := range not {
			free = free && i != n
		}
		if free {
			return i
		}
	}
	c.t.Fatal("no other instance")
	return -1
}

func chatBody(question string, tokens int) []byte {
	data, err := json.Marshal(map[string]any{
		"model": "advisor", "stream": true, "max_tokens": tokens,
		"messages": []engine.Message{{Role: "user", Content: question}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// chat sends a streamed question and returns an error unless the answer is whole
// and the question's own.
func (c *cluster) chat(through int, question string, tokens int) error {
	a := do(http.MethodPost, c.callers(through)+"/v1/chat/completions", nil, chatBody(question, tokens))
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	text, whole := demo.ReadStream(a.body)
	prompt := string((&engine.Request{Messages: []engine.Message{{Role: "user", Content: question}}}).Prompt())
	if want := standin.Text(prompt, tokens); !whole || text != want {
		return fmt.Errorf("answer %q (whole: %v), want %q", text, whole, want)
	}
	return nil
}

// pay records a payment under a key.
func (c *cluster) pay(through int, key, body string) answer {
	return do(http.MethodPost, c.callers(through)+"/services/desk/payments", map[string]string{"Idempotency-Key": key}, []byte(body))
}

// runs returns how often the desks ran the request with a key.
func (c *cluster) runs(key string) int {
	n := 0
	for _, s := range c.services {
		n += s.RunsOf(key)
	}
	return n
}

// code returns the stable code and the ran field of a refusal.
func (a answer) code() (code, ran string) {
	var f struct {
		Error struct{ Code, Ran string }
	}
	_ = json.Unmarshal(a.body, &f) // no refusal has no code
	return f.Error.Code, f.Error.Ran
}
