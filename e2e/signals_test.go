package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/operator"
)

// signalGap is the time between two signals, in which the process handles the first.
const signalGap = 30 * time.Millisecond

// TestSignalsWhileStopping guards against a SIGHUP that ends a process which is stopping, with all requests in
// progress: the registration for SIGHUP ended with the task that watches the settings. Signals come at voters
// and entries, twice and in each order.
func TestSignalsWhileStopping(t *testing.T) {
	const (
		hup  = syscall.SIGHUP
		term = syscall.SIGTERM
	)
	c := newCluster(t, 2, 1, false)
	c.addTargets(0, 1, standin.EngineConfig{})
	c.bootstrap()
	for node, name := range []string{"voter", "entry"} {
		for order, signals := range map[string][]syscall.Signal{
			"stop, reload":         {term, hup},
			"stop, reload twice":   {term, hup, hup},
			"reload around a stop": {hup, term, hup},
			"stop twice, reload":   {term, term, hup},
			"in series":            {hup, hup, term, hup, term, syscall.SIGINT, hup},
		} {
			t.Run(name+"/"+order, func(t *testing.T) { c.stopWith(t, node, strings.ReplaceAll(name+order, " ", ""), signals) })
		}
	}
}

// stopWith sends signals, one of which is SIGTERM, to an instance that is running payments. All must be
// answered, and the process must exit with code 0. It is started again.
func (c *cluster) stopWith(t *testing.T, node int, key string, signals []syscall.Signal) {
	const payments = 4
	for i := range c.nodes {
		c.awaitReady(i) // each needs the voter, which may have just started
	}
	c.services[0].SetFault(standin.ServiceFault{Count: payments, Delay: time.Second})
	answers := make(chan response, payments)
	for n := range payments {
		go func() { answers <- c.pay(node, fmt.Sprint(key, n), `{"amount":1}`) }()
	}
	c.await("payments in progress", func() bool { return c.running(node) == payments })
	for _, s := range signals {
		c.signal(node, s)
		time.Sleep(signalGap)
	}
	for range payments {
		if a := <-answers; a.status != http.StatusCreated {
			t.Errorf("payment in progress: status %d, %v: %s", a.status, a.err, a.body)
		}
	}
	if err := <-c.nodes[node].exited; err != nil {
		t.Errorf("exit: %v", err)
	}
	c.start(node)
}

// running returns the number of requests that an instance is running, or -1 if it does not say.
func (c *cluster) running(i int) int {
	var st operator.Status
	a := do(http.MethodGet, c.controlURL(i)+"/v1/status", nil, nil)
	if a.err != nil || json.Unmarshal(a.body, &st) != nil {
		return -1
	}
	return st.Local.Running
}

// TestSignalsBeforeSettings guards against a SIGHUP that ends a process which has not read its settings: the
// platform may change the file as soon as the process exists. The file is a pipe, so that the process waits in
// the middle of reading it.
func TestSignalsBeforeSettings(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.bootstrap()
	if err := c.terminate(0); err != nil {
		t.Fatal(err)
	}
	nd := c.nodes[0]
	data, err := os.ReadFile(nd.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	file := nd.settingsPath
	nd.settingsPath = filepath.Join(c.folder, "pipe.json")
	if err := syscall.Mkfifo(nd.settingsPath, 0o600); err != nil {
		t.Fatal(err)
	}
	c.start(0)
	pipe, err := os.OpenFile(nd.settingsPath, os.O_WRONLY, 0) // returns when the process reads
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		c.signal(0, syscall.SIGHUP)
		time.Sleep(signalGap)
	}
	if err := os.Rename(file, nd.settingsPath); err != nil { // what is read from now on
		t.Fatal(err)
	}
	if _, err := pipe.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	c.awaitReady(0)
	if err := c.terminate(0); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestReaderOfLogEnds guards against a process that ends with the reader of its log: a write to a standard output
// that nobody reads raises SIGPIPE.
func TestReaderOfLogEnds(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.addTargets(0, 1, standin.EngineConfig{})
	c.bootstrap()
	if err := c.terminate(0); err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	c.startWith(0, w)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	c.awaitReady(0)
	if a := c.pay(0, "unread", `{"amount":1}`); a.status != http.StatusCreated {
		t.Errorf("payment: status %d, %v: %s", a.status, a.err, a.body)
	}
	if err := c.terminate(0); err != nil {
		t.Errorf("exit: %v", err)
	}
}
