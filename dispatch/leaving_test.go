package dispatch

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/target"
)

// leaving returns the outcome with the statement that the target leaves.
func leaving(o Outcome) Outcome {
	switch o := o.(type) {
	case Answered:
		o.Leaving = true
		return o
	case NotRun:
		o.Leaving = true
		return o
	case Unknown:
		o.Leaving = true
		return o
	}
	return o
}

// numberStarts makes incarnations of a pool follow the wall clock, as those of outside platforms do. All starts until now
// have the same one.
func numberStarts(pool *TargetPool) (now ident.Incarnation) {
	now = 1000
	pool.NumberStarts(func(time.Time) ident.Incarnation { return now })
	return now
}

// forgetFailures makes the targets that failed requests eligible again.
func forgetFailures(pool *TargetPool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.clearSuspects(clock.Now(), false)
}

// TestLeavingTargetGetsNothing guards against a call to a target that has said in an answer, of whatever kind, that it leaves:
// for another request, a retry, a resumption, or the second half of a split.
func TestLeavingTargetGetsNothing(t *testing.T) {
	once := desired.ForwardRule{Retry: desired.RetryNever}
	twice := desired.ForwardRule{Retry: desired.RetryFromStart, Attempts: 2}
	resumed := desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2}
	ok := answer(200, "ok", nil)
	for name, test := range map[string]struct {
		rule  desired.ForwardRule
		first Outcome // of the first call
	}{
		"answer":                     {once, ok},
		"error":                      {once, answer(500, "no", nil)},
		"error that is tried again":  {twice, answer(500, "no", nil)},
		"answer that is cut":         {twice, answer(200, "o", errTruncated)},
		"stream that is cut":         {resumed, answer(200, events, errTruncated)},
		"rejection":                  {once, full},
		"rejection, tried again":     {twice, full},
		"head that can't be used":    {once, connectionReset},
		"the same, then tried again": {twice, connectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{leaving(test.first)}}
			for range 20 {
				b.outcomes = append(b.outcomes, answer(200, "id: 3\ndata: c\n\n", nil))
			}
			d := newForwardDispatcher(t, b, "", "", "")
			numberStarts(d.cfg.Targets)
			for range 10 {
				forgetFailures(d.cfg.Targets)                                              // so that targets are avoided for what they say only
				_ = d.Forward(t.Context(), newForwardRequest(test.rule), &recordingSink{}) // the first one may fail
			}
			if len(b.calls) < 10 {
				t.Fatalf("%d calls, want one for each request at least", len(b.calls))
			}
			for n, c := range b.calls[1:] {
				if c.Target == b.calls[0].Target {
					t.Errorf("call %d went to %s, which had said that it leaves", n+1, c.Target)
				}
			}
		})
	}
}

// TestPromptAtLeavingTarget guards against the second half of a split at an engine that has said in the reply to a
// prompt that it leaves, and against another prompt there.
func TestPromptAtLeavingTarget(t *testing.T) {
	b := &scriptedBackend{prefillFails: leaving(full), outcomes: []Outcome{answer(200, events, nil), answer(200, events, nil)}}
	d := newForwardDispatcher(t, b, desired.RolePrefill, desired.RoleMixed)
	numberStarts(d.cfg.Targets)
	for range 2 {
		f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
		f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
		if err := d.Forward(t.Context(), f, &recordingSink{}); err != nil {
			t.Error(err)
		}
	}
	if b.prefills != 1 || len(b.calls) != 2 {
		t.Errorf("%d prompts processed apart and %d calls, want 1 and 2: the engine for prompts leaves", b.prefills, len(b.calls))
	}
}

// TestLeavingIsOfOneStart guards against a target that is not used though it is back, and against one that is used although it
// leaves, because a statement is held against another start than that which made it.
func TestLeavingIsOfOneStart(t *testing.T) {
	const until = 1000 // incarnation of a start now
	report := func(incarnation ident.Incarnation, sequence uint64) *target.Announcement {
		return &target.Announcement{
			Target: "t0", Service: "s", Address: "10.0.0.0:1", Region: "r", Domain: "d", Incarnation: incarnation, Sequence: sequence, Lease: desired.Duration(target.MaxLease),
		}
	}
	for name, test := range map[string]struct {
		before, after *target.Announcement // announcements that arrive before and after the answer; nil for none
		usable        bool
	}{
		"nothing more":                  {nil, nil, false},
		"late report of that start":     {nil, report(1, 9), false},
		"late report of a later start":  {nil, report(until-1, 1), false},
		"back under its ID":             {nil, report(until+1, 1), true},
		"back before the answer":        {report(2, 1), nil, true},
		"back, and announces itself on": {report(2, 1), report(2, 2), true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newForwardDispatcher(t, &scriptedBackend{}, "")
			pool := d.cfg.Targets
			numberStarts(pool)
			a, err := pool.Choose(clock.Now(), router.Request{Service: "s"})
			if err != nil {
				t.Fatal(err)
			}
			defer a.Finish()
			if test.before != nil {
				pool.Announce(clock.Now(), *test.before)
			}
			a.ReportLeaving()
			if test.after != nil {
				pool.Announce(clock.Now(), *test.after)
			}
			again, err := pool.Choose(clock.Now(), router.Request{Service: "s"})
			if (err == nil) != test.usable || err != nil && !fault.Is(err, fault.NoTarget) {
				t.Errorf("error %v, want a target: %v", err, test.usable)
			}
			if err == nil {
				again.Finish()
			}
		})
	}
}

// TestLeavingReachesPlacer guards against a placer that goes on to choose an engine which has said to another instance that it
// leaves, and against an instance that uses such a choice.
func TestLeavingReachesPlacer(t *testing.T) {
	at := start
	pool := newPlacerPool(&at, 1, 2)
	placer := NewPlacer(pool)
	request := &peer.Place{Service: "advisor", Stage: router.StagePrefill, Prompt: 300, Remaining: time.Second, KnownEngines: 2}
	first, err := placer.Place(at, request)
	if err != nil {
		t.Fatal(err)
	}
	placer.Notify([]peer.Note{{Ticket: first.Ticket, Event: peer.NoteLeaving}})
	if _, err := pool.Assign(at, router.Request{Service: "advisor", Stage: router.StagePrefill, Prompt: 300}, first); !fault.Is(err, fault.NoTarget) {
		t.Errorf("error %v for an earlier choice of the engine, want no target", err)
	}
	for range 20 {
		next, err := placer.Place(at, request)
		if err != nil {
			t.Fatal(err)
		}
		if next.Target == first.Target {
			t.Fatalf("%s was chosen again", next.Target)
		}
	}
	shared := target.NewTable(2)
	shared.ApplyListing(at, at, "placer", target.Cursor{}, pool.Listing(at, target.Cursor{}))
	if r, _ := shared.Get(first.Target); !r.Leaving {
		t.Errorf("record of the engine at another instance: %+v, want that it leaves", r)
	}
}

// TestOnlyLeavingTargets guards against a request that waits, or is sent, where all targets have said that they leave.
func TestOnlyLeavingTargets(t *testing.T) {
	b := &scriptedBackend{outcomes: []Outcome{leaving(answer(200, "ok", nil)), leaving(NotRun{Reason: Full, Err: errors.New("full")})}}
	d := newForwardDispatcher(t, b, "", "")
	numberStarts(d.cfg.Targets)
	for range 2 {
		_ = d.Forward(t.Context(), newForwardRequest(desired.ForwardRule{Retry: desired.RetryNever}), &recordingSink{}) // the second one is rejected
	}
	began := time.Now()
	err := d.Forward(t.Context(), newForwardRequest(desired.ForwardRule{Retry: desired.RetryNever}), &recordingSink{})
	if !fault.Is(err, fault.NoTarget) || fault.ResponseOf(err).Ran != fault.RanNo || len(b.calls) != 2 {
		t.Errorf("%v after %d calls, want a refusal after 2", err, len(b.calls))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v, want at once", took)
	}
}

// TestOwnTargetSaysLeaving guards against a target of the project's own interface that says in an answer that it leaves, and gets
// requests all the same.
func TestOwnTargetSaysLeaving(t *testing.T) {
	info := newPlainRequest(http.MethodGet, "/").Info
	chat := ChatRequest{Info: info, Service: &desired.Service{Name: "s"}, Request: &engine.Request{Model: "m", Messages: []engine.Message{{Role: "user", Content: "hi"}}, MaxTokens: 1}}
	noDelivery := func(string) error { return nil }
	plain := func(method string) func(d *Dispatcher) error {
		return func(d *Dispatcher) error {
			_, err := d.Plain(t.Context(), newPlainRequest(method, "/x"))
			return err
		}
	}
	for name, test := range map[string]struct {
		status int
		send   func(d *Dispatcher) error
	}{
		"request that may be repeated": {http.StatusOK, plain(http.MethodGet)},
		"request that may run once":    {http.StatusOK, plain(http.MethodPost)},
		"request that fails":           {http.StatusInternalServerError, plain(http.MethodPost)},
		"chat that is turned away":     {http.StatusServiceUnavailable, func(d *Dispatcher) error { _, err := d.Chat(t.Context(), chat, noDelivery); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			d := newPlainDispatcher(t, false, func(w http.ResponseWriter, _ *http.Request) {
				arrived.Add(1)
				w.Header().Set("Target-Leaving", "1")
				w.WriteHeader(test.status)
			})
			d.cfg.Engines = engine.NewClient(time.Second)
			_ = test.send(d) // may fail
			forgetFailures(d.cfg.Targets)
			if err := test.send(d); !fault.Is(err, fault.NoTarget) || arrived.Load() != 1 {
				t.Errorf("error %v after %d calls, want no target after 1", err, arrived.Load())
			}
		})
	}
}
