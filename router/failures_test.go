package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// failureSim replays short prompts that several instances send to engines, one of which fails every
// request immediately for some time.
type failureSim struct {
	routers []*Router
	open    []openRequest
	failed  int
}

type openRequest struct {
	at   *Router
	c    Choice
	req  Request
	ends clock.Time
}

const (
	failuresEngines       = 9
	failuresInstances     = 9
	failuresRate          = 300                    // requests per second
	failuresAnswerTime    = 200 * time.Millisecond // duration of a successful answer
	failuresShareInterval = 60 * time.Millisecond
	failuresStep          = time.Second / failuresRate
)

func newFailureSim() *failureSim {
	f := &failureSim{}
	for i := range failuresInstances {
		r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: uint64(i), Noise: 0.1, SharedQueues: true, NoReservedEngine: true, SharedFailures: true})
		for e := range failuresEngines {
			r.Put(Target{ID: ident.TargetID(fmt.Sprint("e", e)), Service: "s", Region: "r0", Role: desired.RoleMixed})
		}
		f.routers = append(f.routers, r)
	}
	return f
}

// run replays the time between from and to. Engine e0 fails until recovered. It returns the number
// of requests sent to e0.
func (f *failureSim) run(from, to, recovered clock.Time) (sent int) {
	n := 0
	for at := from; at.Before(to); at = at.Add(failuresStep) {
		f.finish(at)
		if n++; n%int(failuresShareInterval/failuresStep) == 0 {
			f.share(at)
		}
		r := f.routers[n%failuresInstances]
		req := Request{Service: "s", Stage: StagePrefill, Prompt: 300}
		c, _ := r.Choose(req)
		r.Sent(at, c, req)
		if c.ID == "e0" {
			sent++
		}
		if c.ID == "e0" && at.Before(recovered) {
			f.failed++
			r.Answered(at, c, true)
			r.Ended(at, c, req, false)
			continue
		}
		f.open = append(f.open, openRequest{r, c, req, at.Add(failuresAnswerTime)})
	}
	return sent
}

func (f *failureSim) finish(at clock.Time) {
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

func (f *failureSim) share(at clock.Time) {
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

// TestTargetThatFailsAtOnce replays ten seconds in which one engine fails every request
// immediately, and the ten seconds after it recovers. Such an engine has no queue and attracts
// requests unless its failures add to its cost.
func TestTargetThatFailsAtOnce(t *testing.T) {
	f := newFailureSim()
	recovered := now.Add(10 * time.Second)
	f.run(now, recovered, recovered)
	after := f.run(recovered, recovered.Add(10*time.Second), recovered)
	t.Logf("%d of %d requests failed; after its recovery the engine received %d of %d", f.failed, 10*failuresRate, after, 10*failuresRate)
	// About a fortieth of an even share probes whether the engine has recovered.
	if most := 10 * failuresRate / failuresEngines / 4; f.failed > most {
		t.Errorf("%d requests failed, want at most %d", f.failed, most)
	}
	if least := 10 * failuresRate / failuresEngines / 2; after < least {
		t.Errorf("%d requests went to the engine after its recovery, want at least %d", after, least)
	}
}

// TestUsualFailures checks that a target without more failures than are tolerated has no penalty.
// Some requests fail on any target.
func TestUsualFailures(t *testing.T) {
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: 1})
	r.Put(Target{ID: "t", Service: "s", Region: "r0"})
	c, _ := r.Choose(Request{Service: "s"})
	for n := range 100 {
		r.Answered(now.Add(time.Duration(n)*time.Millisecond), c, n%9 == 0)
		if penalty := r.details[c.slot].failurePenalty; penalty > 0 {
			t.Fatalf("after %d answers the failure penalty is %v s, want 0", n+1, penalty)
		}
	}
}
