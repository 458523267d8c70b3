package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/operator"
)

// encode returns the wire form of a document.
func (c *cluster) encode(d desired.Document) []byte {
	data, _, err := d.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

// withWeight returns a copy of the cluster's document with number n and another weight of its first
// tenant.
func (c *cluster) withWeight(n ident.DocumentNumber, weight float64) desired.Document {
	d := c.document
	d.Number = n
	d.Tenants = append([]desired.Tenant(nil), d.Tenants...)
	d.Tenants[0].Weight = weight
	return d
}

// TestOperatorsRace sends two different documents with the same number through different instances
// at the same time. Exactly one is accepted, and repeating either request returns the first result,
// also after newer documents have superseded the number.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.bootstrap()
	for range 10 {
		c.number++
		docs := []desired.Document{c.withWeight(c.number, 1), c.withWeight(c.number, 2)}
		responses := make([]response, 2)
		var wg sync.WaitGroup
		for i := range docs {
			wg.Go(func() { responses[i] = do(http.MethodPut, c.controlURL(i)+"/v1/desired", nil, c.encode(docs[i])) })
		}
		wg.Wait()
		winner := -1
		for i, a := range responses {
			if a.status == http.StatusOK {
				if winner >= 0 {
					t.Fatalf("number %d: both documents were accepted", c.number)
				}
				winner = i
			} else if code, ran := a.code(); code != "number_conflict" || ran != "no" {
				t.Errorf("number %d: status %d: %s", c.number, a.status, a.body)
			}
		}
		if winner < 0 {
			t.Fatalf("number %d: no document was accepted: %s / %s", c.number, responses[0].body, responses[1].body)
		}
		c.checkResend(docs[winner], docs[1-winner])
	}
	first := c.withWeight(2, 1)
	second := c.withWeight(2, 2)
	accepted := 0
	for _, d := range []desired.Document{first, second} {
		if c.putStatus(2, d) == http.StatusOK {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("%d documents with the superseded number 2 were accepted, want 1", accepted)
	}
}

// putStatus sends a document through an instance and returns the response status.
func (c *cluster) putStatus(through int, d desired.Document) int {
	return do(http.MethodPut, c.controlURL(through)+"/v1/desired", nil, c.encode(d)).status
}

// checkResend sends an accepted document and its rejected rival again and expects the same results.
func (c *cluster) checkResend(accepted, rejected desired.Document) {
	c.t.Helper()
	if got := c.putStatus(2, accepted); got != http.StatusOK {
		c.t.Errorf("resending the accepted document %d: status %d", accepted.Number, got)
	}
	if got := c.putStatus(2, rejected); got != http.StatusConflict {
		c.t.Errorf("resending the rejected document %d: status %d", accepted.Number, got)
	}
}

// TestDocumentFaults sends invalid documents. Each must be rejected as a whole, and the document in
// force must not change.
func TestDocumentFaults(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.bootstrap()
	gap := c.withWeight(c.number+2, 1)
	if code, _ := do(http.MethodPut, c.controlURL(0)+"/v1/desired", nil, c.encode(gap)).code(); code != "number_gap" {
		t.Errorf("document after a gap in the numbers: code %q", code)
	}
	bad := do(http.MethodPut, c.controlURL(0)+"/v1/desired", nil, []byte(`{"number":2,"servces":[],"tenants":[{"name":"a"},{"name":"a"}]}`))
	if code, _ := bad.code(); code != "document_invalid" {
		t.Errorf("invalid document: status %d: %s", bad.status, bad.body)
	}
	var shown desired.Document
	a := do(http.MethodGet, c.controlURL(0)+"/v1/desired", nil, nil)
	if err := json.Unmarshal(a.body, &shown); err != nil || shown.Number != c.number {
		t.Errorf("document in force after the rejections: %v: %s", err, a.body)
	}
}

// TestInForceWithCutAndFrozen applies a document that removes a tenant from nine instances, one of
// which is partitioned and one suspended. Once the document is in force, no instance may serve the
// tenant, including the suspended one when it resumes with the old document in memory.
func TestInForceWithCutAndFrozen(t *testing.T) {
	c := newCluster(t, 9, 5, true)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	leader := c.leader(0)
	partitioned := c.otherThan(leader, 0)
	suspended := c.otherThan(leader, 0, partitioned)
	c.isolate(partitioned, true)
	c.signal(suspended, syscall.SIGSTOP)
	through := c.otherThan(partitioned, suspended)
	c.document.Tenants = c.document.Tenants[:2] // without tobago
	c.apply(through)
	checkRefused := func(i int) {
		t.Helper()
		a := do(http.MethodGet, c.callersURL(i)+"/services/desk/postage/TT-1", nil, nil)
		if a.status == http.StatusOK {
			t.Errorf("%s served the removed tenant", c.nodes[i].id)
		}
	}
	checked := make(chan struct{})
	go func() { // blocks at the suspended instance and is its first request when it resumes
		checkRefused(suspended)
		close(checked)
	}()
	checkRefused(partitioned)
	c.signal(suspended, syscall.SIGCONT)
	<-checked
	for i := range c.nodes {
		checkRefused(i)
	}
	c.isolate(partitioned, false)
	c.await("the partitioned instance to catch up", func() bool {
		return do(http.MethodGet, c.callersURL(partitioned)+"/readyz", nil, nil).status == http.StatusOK
	})
	checkRefused(partitioned)
}

// TestRestartAfter500Changes kills and restarts every instance after 500 documents. All of them
// must recover the last document, and the result of an old number must still be recorded.
func TestRestartAfter500Changes(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.bootstrap()
	for range 500 {
		c.number++
		d := c.withWeight(c.number, float64(c.number))
		data := c.encode(d)
		c.await(fmt.Sprint("acceptance of document ", c.number), func() bool {
			return do(http.MethodPut, c.controlURL(0)+"/v1/desired", nil, data).status == http.StatusOK
		})
	}
	for i := range c.nodes {
		c.kill(i)
	}
	for i := range c.nodes {
		c.start(i)
	}
	for i := range c.nodes {
		c.awaitReady(i)
		var st operator.Status
		a := do(http.MethodGet, c.controlURL(i)+"/v1/status", nil, nil)
		if err := json.Unmarshal(a.body, &st); err != nil || st.Local.Number != c.number {
			t.Errorf("status of %s after the restart: %v: %s", c.nodes[i].id, err, a.body)
		}
	}
	if got := c.putStatus(0, c.withWeight(250, 250)); got != http.StatusOK {
		t.Errorf("resending document 250 after the restart: status %d", got)
	}
}

// damagePosition matches the message about a damaged log.
var damagePosition = regexp.MustCompile(`damaged at byte \d+, next valid record at byte \d+`)

// TestDamagedLogIsRefused flips a bit in the middle of a voter's log. The voter must exit with an
// error that names the position, instead of starting with part of its log, and the other voters
// must keep working.
func TestDamagedLogIsRefused(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.bootstrap()
	for range 5 {
		c.apply(0)
	}
	victim := c.otherThan(0)
	c.kill(victim)
	path := filepath.Join(c.nodes[victim].settings.Data, "log")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/3] ^= 0x40
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	c.start(victim)
	if err := <-c.nodes[victim].exited; err == nil {
		t.Error("the voter started with a damaged log")
	}
	c.nodes[victim].cmd = nil
	text, err := os.ReadFile(c.nodes[victim].logPath)
	if err != nil {
		t.Fatal(err)
	}
	if !damagePosition.Match(text) {
		t.Errorf("the voter's last output names no position of the damage: %.400s", text[max(0, len(text)-400):])
	}
	c.apply(0)
}
