package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/operator"
)

func (c *cluster) encode(d desired.Document) []byte {
	data, _, err := d.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

// variant returns the document under a number with one tenant's weight changed.
func (c *cluster) variant(n ident.DocumentNumber, weight float64) desired.Document {
	d := c.document
	d.Number = n
	d.Tenants = append([]desired.Tenant(nil), d.Tenants...)
	d.Tenants[0].Weight = weight
	return d
}

// TestOperatorsRace lets two operators send different documents under one number
// through different entries. One wins; resends get the first answer for ever.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.up()
	for range 10 {
		c.number++
		docs := []desired.Document{c.variant(c.number, 1), c.variant(c.number, 2)}
		answers := make([]answer, 2)
		var wg sync.WaitGroup
		for i := range docs {
			wg.Go(func() { answers[i] = do(http.MethodPut, c.control(i)+"/v1/desired", nil, c.encode(docs[i])) })
		}
		wg.Wait()
		winner := -1
		for i, a := range answers {
			if a.status == http.StatusOK {
				if winner >= 0 {
					t.Fatalf("number %d: both documents were accepted", c.number)
				}
				winner = i
			} else if code, ran := a.code(); code != "number_conflict" || ran != "no" {
				t.Errorf("number %d: %d %s", c.number, a.status, a.body)
			}
		}
		if winner < 0 {
			t.Fatalf("number %d: %s / %s", c.number, answers[0].body, answers[1].body)
		}
		c.resend(docs[winner], docs[1-winner])
	}
	first := c.variant(2, 1)
	second := c.variant(2, 2)
	accepted := 0
	for _, d := range []desired.Document{first, second} {
		if c.putStatus(2, d) == http.StatusOK {
			accepted++
		}
	}
	if accepted != 1 {
		t.Errorf("of the superseded number 2, %d documents are called accepted", accepted)
	}
}

func (c *cluster) putStatus(through int, d desired.Document) int {
	return do(http.MethodPut, c.control(through)+"/v1/desired", nil, c.encode(d)).status
}

func (c *cluster) resend(won, lost desired.Document) {
	c.t.Helper()
	if got := c.putStatus(2, won); got != http.StatusOK {
		c.t.Errorf("resend of number %d: %d", won.Number, got)
	}
	if got := c.putStatus(2, lost); got != http.StatusConflict {
		c.t.Errorf("resend of the loser of number %d: %d", won.Number, got)
	}
}

// TestDocumentFaults sends documents that have to be refused whole.
func TestDocumentFaults(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.up()
	gap := c.variant(c.number+2, 1)
	if code, _ := do(http.MethodPut, c.control(0)+"/v1/desired", nil, c.encode(gap)).code(); code != "number_gap" {
		t.Errorf("gap: %s", code)
	}
	bad := do(http.MethodPut, c.control(0)+"/v1/desired", nil, []byte(`{"number":2,"servces":[],"tenants":[{"name":"a"},{"name":"a"}]}`))
	if code, _ := bad.code(); code != "document_invalid" {
		t.Errorf("bad: %d %s", bad.status, bad.body)
	}
	var shown desired.Document
	a := do(http.MethodGet, c.control(0)+"/v1/desired", nil, nil)
	if err := json.Unmarshal(a.body, &shown); err != nil || shown.Number != c.number {
		t.Errorf("document after refusals: %v %s", err, a.body)
	}
}

// TestInForceWithCutAndFrozen applies a document that removes a tenant on nine
// instances, of which one is cut off and one frozen. Once it is in force, nobody
// serves the tenant any more, also not the frozen one when it goes on.
func TestInForceWithCutAndFrozen(t *testing.T) {
	c := newCluster(t, 9, 5, true)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.up()
	leader := c.leader(0)
	cut := c.other(leader, 0)
	frozen := c.other(leader, 0, cut)
	c.isolate(cut, true)
	c.signal(frozen, syscall.SIGSTOP)
	through := c.other(cut, frozen)
	c.document.Tenants = c.document.Tenants[:2] // without tobago
	c.apply(through)
	refused := func(i int) {
		t.Helper()
		a := do(http.MethodGet, c.callers(i)+"/services/desk/postage/TT-1", nil, nil)
		if a.status == http.StatusOK {
			t.Errorf("%s served by the old document", c.nodes[i].id)
		}
	}
	asked := make(chan struct{})
	go func() { // waits at the frozen instance and is its first request afterwards
		refused(frozen)
		close(asked)
	}()
	refused(cut)
	c.signal(frozen, syscall.SIGCONT)
	<-asked
	for i := range c.nodes {
		refused(i)
	}
	c.isolate(cut, false)
	c.await("the cut instance to catch up", func() bool {
		return do(http.MethodGet, c.callers(cut)+"/readyz", nil, nil).status == http.StatusOK
	})
	refused(cut)
}

// TestRestartAfter500Changes restarts every instance at once after 500 documents.
func TestRestartAfter500Changes(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.up()
	for range 500 {
		c.number++
		d := c.variant(c.number, float64(c.number))
		data := c.encode(d)
		c.await(fmt.Sprint("number ", c.number), func() bool {
			return do(http.MethodPut, c.control(0)+"/v1/desired", nil, data).status == http.StatusOK
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
		a := do(http.MethodGet, c.control(i)+"/v1/status", nil, nil)
		if err := json.Unmarshal(a.body, &st); err != nil || st.Local.Number != c.number {
			t.Errorf("%s after the restart: %v %s", c.nodes[i].id, err, a.body)
		}
	}
	if got := c.putStatus(0, c.variant(250, 250)); got != http.StatusOK {
		t.Errorf("resend of number 250 after the restart: %d", got)
	}
}

// TestDamagedLogIsRefused flips a byte in the middle of a voter's log. The voter
// refuses to start and names the position; the others go on.
func TestDamagedLogIsRefused(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.up()
	for range 5 {
		c.apply(0)
	}
	victim := c.other(0)
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
		t.Error("the voter started on a damaged log")
	}
	c.nodes[victim].cmd = nil
	c.apply(0)
}
