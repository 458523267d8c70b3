package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/demo"
	"github.com/hickoryridge/hickoryridge/internal/net/freeport"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/operator"
	"github.com/hickoryridge/hickoryridge/settings"
)

// awaitTimeout bounds the wait for a condition. It is far above the time that any condition takes.
const awaitTimeout = 60 * time.Second

var daemonPath string // path of the hickoryridge binary, which TestMain builds

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hickoryridge-e2e")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(folder, "hickoryridge")
	args := append(append([]string{"build"}, buildFlags...), "-o", folder, "../cmd/hickoryridge", "../cmd/hickoryctl")
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// node is one instance that runs as a separate process. Its cmd is nil while it is stopped.
type node struct {
	id           ident.InstanceID
	settings     settings.Settings
	settingsPath string
	logPath      string
	cmd          *exec.Cmd
	exited       chan error
}

// cluster is a set of instance processes with the stand-in targets that announce themselves to
// them.
type cluster struct {
	t          testing.TB
	folder     string
	nodes      []*node
	relays     map[[2]int]*relay // by the positions of the connecting and the accepting instance
	engines    []*standin.Engine
	services   []*standin.Service
	withdraw   []context.CancelFunc // one per target, in the order of their start
	announcers []*standin.Announcer // in the order of withdraw
	scheme     string               // of the URLs for callers
	document   desired.Document
	number     ident.DocumentNumber
}

var regions = []string{"north", "south", "tobago"}

// newCluster starts n instances, of which the first voters vote in the quorum. If relayed is set,
// the connections between instances pass through relays, so that a test can partition instances.
func newCluster(t testing.TB, n, voters int, relayed bool) *cluster {
	t.Helper()
	return newClusterWith(t, n, voters, relayed, func(*settings.Settings) {})
}

// newClusterWith is like newCluster, and calls change with the settings of each instance before its
// start.
func newClusterWith(t testing.TB, n, voters int, relayed bool, change func(*settings.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, scheme: "http://", folder: t.TempDir(), relays: map[[2]int]*relay{}}
	for i := range n {
		c.nodes = append(c.nodes, &node{id: ident.InstanceID(fmt.Sprint("i", i+1))})
		nd := c.nodes[i]
		nd.settings = settings.Settings{
			Instance: nd.id, Region: ident.RegionID(regions[i%3]), Domain: ident.DomainID(regions[i%3] + "-a"),
			Callers: freeport.Address(t), Control: freeport.Address(t), Peer: freeport.Address(t),
			Log: settings.Log{Level: "debug"}, Routing: settings.Routing{Permits: true, Facts: true},
		}
		if i < voters {
			nd.settings.Data = filepath.Join(c.folder, string(nd.id))
		}
		nd.settingsPath = filepath.Join(c.folder, string(nd.id)+".json")
		nd.logPath = filepath.Join(c.folder, string(nd.id)+".log")
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
		if err := os.WriteFile(nd.settingsPath, data, 0o600); err != nil {
			t.Fatal(err)
		}
		c.start(i)
	}
	t.Cleanup(c.close)
	return c
}

// close withdraws the targets and kills every instance. It fails the test if the race detector
// reported a race in an instance, and prints the end of every log if the test failed.
func (c *cluster) close() {
	for _, withdraw := range c.withdraw {
		withdraw()
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
		if data, err := os.ReadFile(nd.logPath); err == nil && bytes.Contains(data, []byte("DATA RACE")) {
			c.t.Errorf("instance %s: the race detector reported a data race", nd.id)
		}
	}
	if !c.t.Failed() {
		return
	}
	for _, nd := range c.nodes {
		data, err := os.ReadFile(nd.logPath)
		if err == nil {
			c.t.Logf("end of the log of %s:\n%s", nd.id, data[max(0, len(data)-4000):])
		}
	}
}

// start starts an instance, which appends its output to its log file.
func (c *cluster) start(i int) {
	c.t.Helper()
	nd := c.nodes[i]
	f, err := os.OpenFile(nd.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	c.startWith(i, f)
}

// startWith starts an instance, which writes its output to f. It closes f when the instance has exited.
func (c *cluster) startWith(i int, f *os.File) {
	c.t.Helper()
	nd := c.nodes[i]
	nd.cmd = exec.Command(daemonPath, "serve", "-settings", nd.settingsPath)
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
		_ = p.Process.Signal(s) // the process may have exited already
	}
}

// kill sends SIGKILL to an instance and waits until it has exited.
func (c *cluster) kill(i int) {
	nd := c.nodes[i]
	if nd.cmd == nil {
		return
	}
	c.signal(i, syscall.SIGKILL)
	<-nd.exited
	nd.cmd = nil
}

// terminate sends SIGTERM to an instance, waits until it has exited and returns its exit error.
func (c *cluster) terminate(i int) error {
	nd := c.nodes[i]
	c.signal(i, syscall.SIGTERM)
	err := <-nd.exited
	nd.cmd = nil
	return err
}

// wipe deletes the data directory of a stopped instance.
func (c *cluster) wipe(i int) {
	c.t.Helper()
	if err := os.RemoveAll(c.nodes[i].settings.Data); err != nil {
		c.t.Fatal(err)
	}
}

// isolate blocks or restores every connection between an instance and the others.
func (c *cluster) isolate(i int, blocked bool) {
	for pair, r := range c.relays {
		if pair[0] == i || pair[1] == i {
			r.blocked.Store(blocked)
		}
	}
}

// callersURL returns the base URL of an instance's listener for callers.
func (c *cluster) callersURL(i int) string { return c.scheme + c.nodes[i].settings.Callers }

// controlURL returns the base URL of an instance's control listener.
func (c *cluster) controlURL(i int) string { return "http://" + c.nodes[i].settings.Control }

// controlAddrs returns the control addresses of all instances.
func (c *cluster) controlAddrs() []string {
	var all []string
	for _, nd := range c.nodes {
		all = append(all, nd.settings.Control)
	}
	return all
}

// addTargets starts stand-in engines and services that announce themselves to the instances.
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
			Target: ident.TargetID(fmt.Sprint("desk-", i+1)), Service: "desk", Address: s.Addr(), Incarnation: 1, Plain: s,
		}, i)
	}
}

// announce places the i-th target of a kind in a region and starts to announce it.
func (c *cluster) announce(a *standin.Announcer, i int) {
	a.Region, a.Domain = ident.RegionID(regions[i%3]), ident.DomainID(regions[i%3]+"-a")
	a.Controls = c.controlAddrs()
	ctx, cancel := context.WithCancel(context.Background())
	c.withdraw = append(c.withdraw, cancel)
	c.announcers = append(c.announcers, a)
	go a.Run(ctx)
}

// await calls f until it returns true, and fails the test after awaitTimeout.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s (bound %v)", what, awaitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// response is the complete response to a request, or the error that prevented one.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// httpClient opens a connection for each request, so that no request uses a connection to an
// instance that was killed.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: awaitTimeout}

// do sends a request as tenant tobago and reads the whole response.
func do(method, url string, header map[string]string, body []byte) response {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("X-Tenant", "tobago")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data, err: err}
}

// apply sends the document with the next number through an instance until it is in force.
func (c *cluster) apply(through int) {
	c.t.Helper()
	c.number++
	c.document.Number = c.number
	data, _, err := c.document.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	c.await("the document to be in force", func() bool {
		return do(http.MethodPut, c.controlURL(through)+"/v1/desired", nil, data).status == http.StatusOK
	})
}

// bootstrap applies the example document of the Association, which needs an elected leader, and
// waits until every instance is ready and considers every target usable.
func (c *cluster) bootstrap() {
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

// awaitReady waits until an instance is ready and considers every target usable.
func (c *cluster) awaitReady(i int) {
	c.t.Helper()
	c.await(fmt.Sprintf("%s to be ready with %d targets", c.nodes[i].id, len(c.withdraw)), func() bool {
		return do(http.MethodGet, c.callersURL(i)+"/readyz", nil, nil).status == http.StatusOK && c.usableTargets(i) == len(c.withdraw)
	})
}

// usableTargets returns the number of targets that an instance considers usable, or -1 if the
// request fails.
func (c *cluster) usableTargets(i int) int {
	var list []operator.Target
	a := do(http.MethodGet, c.controlURL(i)+"/v1/targets", nil, nil)
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

// leaderReport requests the leader's report through an instance. It returns false if the instance
// does not reach a leader.
func (c *cluster) leaderReport(through int) (instance.Report, bool) {
	var st operator.Status
	var r instance.Report
	a := do(http.MethodGet, c.controlURL(through)+"/v1/status", nil, nil)
	if a.err != nil || json.Unmarshal(a.body, &st) != nil || st.Quorum == nil {
		return r, false
	}
	return r, json.Unmarshal(st.Quorum, &r) == nil
}

// leader waits until an instance reports a leader and returns the leader's position.
func (c *cluster) leader(through int) int {
	c.t.Helper()
	found := -1
	c.await("an elected leader", func() bool {
		r, ok := c.leaderReport(through)
		for i, nd := range c.nodes {
			if ok && nd.id == r.Leader {
				found = i
			}
		}
		return ok
	})
	return found
}

// otherThan returns the position of the first instance that is not among the given ones.
func (c *cluster) otherThan(excluded ...int) int {
	for i := range c.nodes {
		free := true
		for _, n := range excluded {
			free = free && i != n
		}
		if free {
			return i
		}
	}
	c.t.Fatal("every instance is excluded")
	return -1
}

// chatBody returns the body of a streamed chat completion request.
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

// chat sends a streamed chat request and returns an error unless the response is complete and
// belongs to this request.
func (c *cluster) chat(through int, question string, tokens int) error {
	a := do(http.MethodPost, c.callersURL(through)+"/v1/chat/completions", nil, chatBody(question, tokens))
	if a.err != nil {
		return a.err
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	text, complete := demo.ReadStream(a.body)
	prompt := string((&engine.Request{Messages: []engine.Message{{Role: "user", Content: question}}}).Prompt())
	if want := standin.AnswerText(prompt, tokens); !complete || text != want {
		return fmt.Errorf("response %q (complete: %v), want %q", text, complete, want)
	}
	return nil
}

// pay sends a payment with an idempotency key.
func (c *cluster) pay(through int, key, body string) response {
	return do(http.MethodPost, c.callersURL(through)+"/services/desk/payments", map[string]string{"Idempotency-Key": key}, []byte(body))
}

// runs returns how often the services executed the request with an idempotency key.
func (c *cluster) runs(key string) int {
	n := 0
	for _, s := range c.services {
		n += s.RunCount(key)
	}
	return n
}

// code returns the error code and the ran field of an error response.
func (a response) code() (code, ran string) {
	var f struct {
		Error struct{ Code, Ran string }
	}
	_ = json.Unmarshal(a.body, &f) // any other response has no code
	return f.Error.Code, f.Error.Ran
}
