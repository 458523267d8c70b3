package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// failures replays short prompts through several instances to engines of which one fails every request at once
// for a while.
type failures struct {
	routers []*Router
	open    []failuresOpen
	failed  int
}

type failuresOpen struct {
	at   *Router
	c    Choice
	req  Request
	ends clock.Time
}

const (
	failuresEngines   = 9
	failuresInstances = 9
	failuresRate      = 300                    // requests a second
	failuresTime      = 200 * time.Millisecond // of a sound answer
	failuresShare     = 60 * time.Millisecond
	failuresStep      = time.Second / failuresRate
)

func newFailures() *failures {
	f := &failures{}
	for i := range failuresInstances {
		r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: uint64(i), Noise: 0.1, SharedQueues: true, NoReservedEngine: true, SharedFailures: true})
		for e := range failuresEngines {
			r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", e)), Service: "s", Region: "r0", Role: desired.RoleMixed})
		}
		f.routers = append(f.routers, r)
	}
	return f
}

// run plays the steps until to; engine e0 is bad until bad. It returns the requests that e0 got.
func (f *failures) run(from, to, bad clock.Time) (sent int) {
	n := 0
	for at := from; at.Before(to); at = at.Add(failuresStep) {
		f.finish(at)
		if n++; n%int(failuresShare/failuresStep) == 0 {
			f.share(at)
		}
		r := f.routers[n%failuresInstances]
		req := Request{Service: "s", Stage: StagePrefill, Prompt: 300}
		c, _ := r.Choose(req)
		r.Sent(at, c, req)
		if c.ID == "e0" {
			sent++
		}
		if c.ID == "e0" && at.Before(bad) {
			f.failed++
			r.Answered(at, c, true)
			r.Ended(at, c, req, false)
			continue
		}
		f.open = append(f.open, failuresOpen{r, c, req, at.Add(failuresTime)})
	}
	return sent
}

func (f *failures) finish(at clock.Time) {
	kept := f.open[:0]
	for _, o := range f.open {
		if at.Before(o.ends) {
			kept = append(kept, o)
			continue
		}
		o.at.FirstToken(at, o.c, o.req)
		o.at.Answered(at, o.c, false)
		o.at.Ended(at, o.c, o.req, true)
	}
	f.open = kept
}

func (f *failures) share(at clock.Time) {
	sums := map[ident.TargetID]Answers{}
	for _, r := range f.routers {
		for _, o := range r.OwnLoads(at) {
			s := sums[o.Target]
			s.All += o.Answers.All
			s.Failed += o.Answers.Failed
			sums[o.Target] = s
		}
	}
	for _, r := range f.routers {
		for e := range failuresEngines {
			id := ident.TargetID(fmt.Sprint("e", e))
			r.SetSharedAnswers(at, id, sums[id])
		}
		r.Expire(at, failuresInstances)
	}
}

// TestTargetThatFailsAtOnce replays ten seconds in which one engine fails all at once, and the time after it.
func TestTargetThatFailsAtOnce(t *testing.T) {
	f := newFailures()
	well := now.Add(10 * time.Second)
	f.run(now, well, well)
	after := f.run(well, well.Add(10*time.Second), well)
	t.Logf("%d of %d requests failed; afterwards the engine got %d of %d", f.failed, 10*failuresRate, after, 10*failuresRate)
	// A fortieth of an even share finds out whether it is well again.
	if most := 10 * failuresRate / failuresEngines / 4; f.failed > most {
		t.Errorf("%d requests failed, want at most %d", f.failed, most)
	}
	if least := 10 * failuresRate / failuresEngines / 2; after < least {
		t.Errorf("%d requests went to the engine when it was well again, want at least %d", after, least)
	}
}

// TestUsualFailures lets some requests fail wherever they go.
func TestUsualFailures(t *testing.T) {
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: 1})
	r.Put(Target{ID: "t", Service: "s", Region: "r0"})
	c, _ := r.Choose(Request{Service: "s"})
	for n := range 100 {
		r.Answered(now.Add(time.Duration(n)*time.Millisecond), c, n%9 == 0)
		if failing := r.details[c.slot].failing; failing > 0 {
			t.Fatalf("after %d answers the target costs %v s more", n+1, failing)
		}
	}
}
