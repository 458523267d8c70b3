package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// refusalManifest has a route for streams that may run once.
const refusalManifest = `{"version":7,"routes":[
{"name":"ask","host":"lab.example","pathPrefix":"/ask/","kind":"stream","timeoutMs":3000,"sloMs":600,"priority":0,"service":"lab-advisor","maxAttempts":1,"sessionAffinity":true,"resumable":false,"itlSloMs":200}],
"services":[{"name":"lab-advisor","healthPath":"/healthz","maxConns":310,"protocol":"h1","tls":false,"engine":{"slots":48,"kvCapacity":656048,"kvTokenBytes":18432,"linkMbps":370000.0,"retentionS":5.0,"swapS":3.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

const (
	refusalRate   = 60 // requests per second
	refusalFronts = 6
	refusalTime   = 95 * time.Second
	decodeSlots   = 48
	decodeEvents  = 5
	decodeStep    = 6 * time.Millisecond
	prefillTime   = 4 * time.Millisecond
	// troublePeriod is the time from one disruption to the next. In each, the decode replica rejects shedShare of its
	// requests for shedTime, and writes repeatShare of its answers a second time for repeatTime.
	troublePeriod = 8 * time.Second
	shedShare     = 0.45
	shedTime      = 6500 * time.Millisecond
	repeatShare   = 0.03
	repeatTime    = 5 * time.Second
)

// engineLog records what the model replicas ran. It is safe for concurrent use.
type engineLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// decoder is a model replica of the stage decode that rejects some requests. With trouble it writes some of its
// answers a second time, at the point where the next response is expected on the channel.
type decoder struct {
	rec     *record
	log     *engineLog
	trouble bool
	running atomic.Int64
}

// during reports whether a disruption that lasts for d in each period is in progress.
func (d *decoder) during(length time.Duration) bool {
	return time.Since(d.rec.start)%troublePeriod < length
}

// sheds reports whether the next request is rejected.
func (d *decoder) sheds() bool { return d.during(shedTime) && rand.Float64() < shedShare }

// repeats reports whether the next answer is written twice.
func (d *decoder) repeats() bool {
	return d.trouble && d.during(repeatTime) && rand.Float64() < repeatShare
}

func (d *decoder) load() string { return fmt.Sprintf("%d,0,%d", d.running.Load(), decodeSlots) }

func (d *decoder) handle(ch *channel, req *http.Request) bool {
	if strings.HasPrefix(req.URL.Path, "/-/") {
		return ch.respond(req, http.StatusOK, http.Header{"Content-Type": {"application/json"}}, reportOf("decode")) == nil
	}
	id := req.Header.Get("X-Request-Id")
	if len(ch.pending) > 0 {
		d.rec.line("decode replica: before its answer to request %s it writes the refusal of request %s a second time", id, ch.pendingID)
	}
	if d.sheds() {
		return d.refuse(ch, req, id)
	}
	d.running.Add(1)
	defer d.running.Add(-1)
	return d.run(ch, req, id)
}

// refuse rejects a request.
func (d *decoder) refuse(ch *channel, req *http.Request, id string) bool {
	h := http.Header{"X-Not-Executed": {"1"}, "X-Server-Load": {d.load()}}
	d.rec.line("decode replica rejects request %s", id)
	if ch.respond(req, http.StatusServiceUnavailable, h, nil) != nil {
		return false
	}
	if d.repeats() {
		ch.pending, ch.pendingID = encode(req, http.StatusServiceUnavailable, h, nil), id
	}
	return true
}

// run answers with a stream.
func (d *decoder) run(ch *channel, req *http.Request, id string) bool {
	d.log.mu.Lock()
	d.log.runs[id]++
	d.log.mu.Unlock()
	d.rec.line("decode replica runs request %s", id)
	if err := ch.beginStream(req, http.Header{"X-Response-Signature": {"signed." + id}, "X-Server-Load": {d.load()}}); err != nil {
		return false
	}
	for n := 1; n <= decodeEvents; n++ {
		if err := ch.event(n, "piece of "+id); err != nil {
			d.rec.line("decode replica: the channel of request %s is closed before event %d", id, n)
			return false
		}
		time.Sleep(decodeStep)
	}
	return ch.endStream() == nil
}

// handlePrefill answers as a model replica of the stage prefill.
func handlePrefill(ch *channel, req *http.Request) bool {
	h := http.Header{"Content-Type": {"application/json"}}
	switch {
	case req.Method == http.MethodDelete:
		return ch.respond(req, http.StatusOK, h, nil) == nil
	case strings.HasPrefix(req.URL.Path, "/-/"):
		return ch.respond(req, http.StatusOK, h, reportOf("prefill")) == nil
	case req.Header.Get("X-Stage") != "prefill":
		return ch.respond(req, http.StatusMisdirectedRequest, http.Header{"X-Instance-Id": {req.Header.Get("X-Target-Instance")}}, nil) == nil
	}
	time.Sleep(prefillTime)
	body, err := json.Marshal(map[string]any{"copyHandle": newID(), "tokens": 1791, "version": 1})
	return err == nil && ch.respond(req, http.StatusOK, h, body) == nil
}

// reportOf returns the state that a model replica reports.
func reportOf(stage string) []byte {
	return fmt.Appendf(nil, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waitingReqs":0,"runningReqs":1,"kvUsed":1000,"kvTotal":656048,"handles":0}`, stage)
}

// playRefusal sends requests to a service whose replica of the stage decode rejects some. With trouble, that replica
// writes some of its answers a second time.
func playRefusal(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(3, refusalFronts, refusalManifest)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &engineLog{runs: map[string]int{}}
	prefill, err := newReplica(s, "prefill-1", "lab-advisor", "v1", "prefill", decodeSlots, handlePrefill)
	if err != nil {
		return false, err
	}
	decode, err := newReplica(s, "decode-1", "lab-advisor", "v1", "decode", decodeSlots, (&decoder{rec: rec, log: log, trouble: trouble}).handle)
	if err != nil {
		return false, err
	}
	go prefill.announce(ctx)
	go decode.announce(ctx)
	q := newRequester()
	if err := awaitServed(q, s.fronts[0], "/ask/warm"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // all machines know both replicas
	var wg sync.WaitGroup
	answers := make([]answer, int(refusalTime.Seconds()*refusalRate))
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / refusalRate)
			h := http.Header{"X-Model": {"m"}, "X-Token-Counts": {"1791,5"}, "X-Prompt-Prefix": {fmt.Sprintf("%s:1500,%08x:291", newID()[:8], i)}}
			answers[i] = q.send(s.fronts[i%refusalFronts].front(), http.MethodPost, "/ask/x", 3*time.Second, h)
			rec.line("request %s: status %d, complete %v, error %v", answers[i].id, answers[i].status, answers[i].complete, answers[i].err)
		})
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	return judgeRefusals(rec, log, answers), nil
}

// judgeRefusals checks that no request ran twice, and that none ran that was refused.
func judgeRefusals(rec *record, log *engineLog, answers []answer) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	served, refused, lied, twice := 0, 0, 0, 0
	for _, a := range answers {
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		switch {
		case a.status == http.StatusOK && a.complete:
			served++
		case promised:
			refused++
		}
		if promised && log.runs[a.id] > 0 {
			lied++
			rec.line("REFUSED: request %s was answered %d and has run", a.id, a.status)
		}
		if log.runs[a.id] > 1 {
			twice++
			rec.line("TWICE: request %s ran %d times", a.id, log.runs[a.id])
		}
	}
	rec.line("%d requests: %d served, %d refused; %d were refused and have run, %d ran more than once", len(answers), served, refused, lied, twice)
	return lied+twice > 0
}
