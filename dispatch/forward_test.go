package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/metrics"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

// scriptedBackend is a backend that returns the given outcomes in order.
type scriptedBackend struct {
	outcomes []Outcome
	calls    []Call
	prefills int
	// prefillFails is what becomes of the first prompt that is processed apart, unless it is nil.
	prefillFails Outcome
	released     []string
	block        bool // calls block until their context ends
	crashed      bool // targets accept no connections
	// endsWithContext is a body that fails when the context of a call ends, as those of connections do.
	endsWithContext *io.PipeReader
}

func (s *scriptedBackend) Run(ctx context.Context, c Call) Outcome {
	s.calls = append(s.calls, c)
	if s.endsWithContext != nil {
		context.AfterFunc(ctx, func() { _ = s.endsWithContext.CloseWithError(ctx.Err()) })
	}
	if s.block {
		<-ctx.Done()
		return Unknown{Err: ctx.Err()}
	}
	if len(s.outcomes) == 0 {
		return Unknown{Err: errors.New("more calls than outcomes")}
	}
	o := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return o
}

func (s *scriptedBackend) Prefill(_ context.Context, c Call) (*KVCacheRef, Outcome) {
	s.prefills++
	if s.prefills == 1 && s.prefillFails != nil {
		return nil, s.prefillFails
	}
	return &KVCacheRef{Address: c.Address, Handle: fmt.Sprint("h", s.prefills)}, Answered{Status: http.StatusOK}
}

// Refuses reports whether targets have crashed.
func (s *scriptedBackend) Refuses(context.Context, string) bool { return s.crashed }

func (s *scriptedBackend) Release(_ context.Context, c *KVCacheRef) {
	s.released = append(s.released, c.Handle)
}

// answer returns an Answered outcome whose body ends with err, or with EOF if err is nil.
func answer(status int, body string, err error) Outcome {
	return Answered{Status: status, Header: http.Header{"Signed": {"s"}}, Body: io.NopCloser(&truncatedReader{strings.NewReader(body), err})}
}

type truncatedReader struct {
	*strings.Reader
	err error
}

func (c *truncatedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF && c.err != nil {
		err = c.err
	}
	return n, err
}

// recordingSink is a sink that records what it receives.
type recordingSink struct {
	status int
	body   strings.Builder
	begins int
}

func (r *recordingSink) Begin(status int, _ http.Header) error {
	r.status = status
	r.begins++
	return nil
}

func (r *recordingSink) Write(p []byte) error {
	r.body.Write(p)
	return nil
}

// newForwardDispatcher returns a dispatcher with one target per role, all of one service.
func newForwardDispatcher(t *testing.T, b Backend, roles ...desired.Role) *Dispatcher {
	t.Helper()
	gate := NewGate()
	pool := NewTargetPool(router.Config{Region: "r", Links: router.DefaultLinks(), Seed: 1, NoReservedEngine: true}, gate, 1)
	for i, role := range roles {
		a := target.Announcement{
			Target: ident.TargetID(fmt.Sprint("t", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Region: "r", Domain: "d",
			Incarnation: 1, Sequence: 1, Lease: desired.Duration(target.MaxLease), Load: target.Load{Slots: 8},
		}
		if role != "" {
			a.Engine = &target.EngineReport{Role: role}
			a.Load.Prefill = 100_000
			if role == desired.RoleMixed {
				a.Load.Prefill = 1000 // so that prompts go to the other targets
			}
		}
		pool.Announce(clock.Now(), a)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := metrics.New()
	t.Cleanup(func() { _ = m.Close() })
	return New(Config{Gate: gate, Targets: pool, Backend: b, Metrics: m, Log: logrus.NewEntry(logger), MaxRunning: 100})
}

// newForwardRequest returns a request that matches the given rule.
func newForwardRequest(rule desired.ForwardRule) *ForwardRequest {
	if rule.Timeout == 0 {
		rule.Timeout = desired.Duration(5 * time.Second)
	}
	rule.Name = "rule"
	return &ForwardRequest{
		ID: "id", Rule: &rule, Service: "s", Config: &ActiveConfig{Document: &desired.Document{}, Version: state.Version(1), Number: 1},
		Arrived: clock.Now(), Method: http.MethodPost, URI: "/", Header: http.Header{},
	}
}

var (
	errTruncated      = errors.New("truncated")
	notSent           = NotRun{Reason: Unreachable, Err: errors.New("refused")}
	full              = NotRun{Reason: Full, Err: errors.New("full")}
	addressReassigned = NotRun{Reason: AddressReassigned, Err: errors.New("another target")}
	connectionReset   = Unknown{Err: errors.New("reset")}
)

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// TestForward runs requests under each kind of rule against targets with each kind of failure.
func TestForward(t *testing.T) {
	once := desired.ForwardRule{Retry: desired.RetryNever}
	twice := desired.ForwardRule{Retry: desired.RetryFromStart, Attempts: 2}
	stream := desired.ForwardRule{Retry: desired.RetryNever, Stream: true}
	resumed := desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2}
	for name, test := range map[string]struct {
		rule     desired.ForwardRule
		outcomes []Outcome
		calls    int
		status   int // of the answer, or of the refusal if there is no answer
		ran      fault.Ran
		body     string
		broken   bool
	}{
		"answered":                       {once, []Outcome{answer(200, "ok", nil)}, 1, 200, "", "ok", false},
		"error status relayed":           {once, []Outcome{answer(500, "no", nil)}, 1, 500, "", "no", false},
		"once, not reached":              {once, []Outcome{notSent, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"once, never reached":            {once, []Outcome{notSent, notSent, notSent}, 3, 503, fault.RanNo, "", false},
		"once, full":                     {once, []Outcome{full}, 1, 503, fault.RanNo, "", false},
		"once, address reassigned":       {once, []Outcome{addressReassigned, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"once, may have run":             {once, []Outcome{connectionReset}, 1, 502, fault.RanUnknown, "", false},
		"once, truncated":                {once, []Outcome{answer(200, "o", errTruncated)}, 1, 502, fault.RanUnknown, "", false},
		"idempotent, may have run":       {twice, []Outcome{connectionReset, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, truncated":          {twice, []Outcome{answer(200, "o", errTruncated), answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, full":               {twice, []Outcome{full, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, failed":             {twice, []Outcome{answer(500, "no", nil), answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, failed twice":       {twice, []Outcome{answer(500, "no", nil), answer(500, "no", nil)}, 2, 500, "", "no", false},
		"idempotent, failed, then reset": {twice, []Outcome{answer(500, "no", nil), connectionReset}, 2, 500, "", "no", false},
		"idempotent, reset twice":        {twice, []Outcome{connectionReset, connectionReset}, 2, 502, fault.RanUnknown, "", false},
		"idempotent, reset, then full":   {twice, []Outcome{connectionReset, full}, 2, 502, fault.RanUnknown, "", false},
		"stream":                         {stream, []Outcome{answer(200, events, nil)}, 1, 200, "", events, false},
		"stream, truncated":              {stream, []Outcome{answer(200, events, errTruncated)}, 1, 200, fault.RanUnknown, events, true},
		"stream, truncated in an event":  {stream, []Outcome{answer(200, events+"id: 3\nda", nil)}, 1, 200, fault.RanUnknown, events, true},
		"stream, truncated at its start": {stream, []Outcome{answer(200, "", errTruncated)}, 1, 502, fault.RanUnknown, "", false},
		"resumed":                        {resumed, []Outcome{answer(200, events+"id: 3\nda", errTruncated), answer(200, "id: 3\ndata: c\n\n", nil)}, 2, 200, "", events + "id: 3\ndata: c\n\n", false},
		"resumed, then reset":            {resumed, []Outcome{answer(200, events, errTruncated), connectionReset}, 2, 200, fault.RanUnknown, events, true},
		"resumed, first target failed":   {resumed, []Outcome{answer(500, "no", nil), answer(200, events, nil)}, 2, 200, "", events, false},
		"resumed, then failed":           {resumed, []Outcome{answer(200, events, errTruncated), answer(500, "no", nil)}, 2, 200, fault.RanUnknown, events, true},
		"resumed, second not reached":    {resumed, []Outcome{answer(200, events, errTruncated), notSent, answer(200, "id: 3\ndata: c\n\n", nil)}, 3, 200, "", events + "id: 3\ndata: c\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: test.outcomes}
			d := newForwardDispatcher(t, b, "", "", "", "")
			var sink recordingSink
			err := d.Forward(t.Context(), newForwardRequest(test.rule), &sink)
			if len(b.calls) != test.calls {
				t.Errorf("%d calls, want %d", len(b.calls), test.calls)
			}
			var truncated *TruncatedAnswerError
			if errors.As(err, &truncated) != test.broken {
				t.Errorf("unexpected kind of error: %v", err)
			}
			status := sink.status
			if sink.begins == 0 {
				status = fault.StatusOf(err)
			}
			if status != test.status || sink.body.String() != test.body || sink.begins > 1 {
				t.Errorf("status %d, body %q, headers sent %d times: %v", status, sink.body.String(), sink.begins, err)
			}
			if test.ran != "" && !test.broken && fault.ResponseOf(err).Ran != test.ran {
				t.Errorf("ran=%s, want %s: %v", fault.ResponseOf(err).Ran, test.ran, err)
			}
		})
	}
}

// TestResumePoint checks that a truncated stream resumes after the last complete event.
func TestResumePoint(t *testing.T) {
	b := &scriptedBackend{outcomes: []Outcome{answer(200, events+"id: 3\nda", errTruncated), answer(200, "id: 3\ndata: c\n\n", nil)}}
	d := newForwardDispatcher(t, b, "", "")
	f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
	f.LastEventID = "0"
	if err := d.Forward(t.Context(), f, &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	if b.calls[0].LastEventID != "0" || b.calls[1].LastEventID != "2" || b.calls[0].Target == b.calls[1].Target {
		t.Errorf("resumed after the wrong event or at the same target: %+v", b.calls)
	}
}

// TestSplit checks that a long prompt is processed at one engine and answered at another, and that
// KV cache which is not used is released.
func TestSplit(t *testing.T) {
	for name, test := range map[string]struct {
		outcome  Outcome
		released int
	}{
		"used":     {answer(200, events, nil), 0},
		"rejected": {NotRun{Reason: Full, Err: errors.New("full")}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{test.outcome}}
			d := newForwardDispatcher(t, b, desired.RolePrefill, desired.RoleMixed)
			f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryNever, Stream: true})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			_ = d.Forward(t.Context(), f, &recordingSink{}) // the recorded calls show the result
			if b.prefills != 1 || len(b.calls) != 1 || b.calls[0].Import == nil || len(b.released) != test.released {
				t.Errorf("%d prefills, released %v, calls %+v", b.prefills, b.released, b.calls)
			}
		})
	}
}

// TestSplitRejected runs a request against engines that reject every answer, since the KV cache of a prompt that was
// processed elsewhere is gone. Other engines must be tried, which process the prompt themselves, and the retry
// budget must count each of them.
func TestSplitRejected(t *testing.T) {
	cacheGone := NotRun{Reason: KVCacheGone, Err: errors.New("rejected")}
	for name, test := range map[string]struct {
		slack float64
		calls int
	}{
		"budget for one more attempt": {2, 2},
		"budget for no other attempt": {1, 1},
		"budget for all attempts":     {100, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{cacheGone, cacheGone, cacheGone, cacheGone}}
			d := newForwardDispatcher(t, b, desired.RolePrefill, desired.RolePrefill, desired.RoleMixed, desired.RoleMixed)
			d.cfg.Retries = admit.RetryLimit{Ratio: 0, Window: 10 * time.Second, Slack: test.slack}
			d.started = clock.Now().Add(-d.cfg.Retries.Window) // the slack counts after one window
			f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			_ = d.Forward(t.Context(), f, &recordingSink{}) // the recorded calls show the result
			if len(b.calls) != test.calls || b.prefills != 1 {
				t.Fatalf("%d prompts processed apart, %d answers, want 1 and %d", b.prefills, len(b.calls), test.calls)
			}
			for i, call := range b.calls {
				if (call.Import == nil) != (i > 0) {
					t.Errorf("answer %d with KV cache: %v", i, call.Import != nil)
				}
			}
			for i := 1; i < len(b.calls); i++ {
				if b.calls[i].Target == b.calls[i-1].Target {
					t.Errorf("answer %d went to the engine that rejected the previous one", i)
				}
			}
		})
	}
}

// TestSplitReplyBroken guards against a target that counts as sound, or a request that fails, though the reply about its prompt was
// broken: the request has not run, so another engine processes the prompt.
func TestSplitReplyBroken(t *testing.T) {
	for name, test := range map[string]struct {
		reason Reason
		failed int // targets that count as failed
	}{"broken": {ReplyBroken, 1}, "full": {Full, 0}} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{answer(http.StatusOK, "id: 1\n\n", nil)}, prefillFails: NotRun{Reason: test.reason, Err: errors.New("cut")}}
			d := newForwardDispatcher(t, b, desired.RolePrefill, desired.RolePrefill, desired.RoleMixed)
			f := newForwardRequest(desired.ForwardRule{Stream: true, Retry: desired.RetryResume, Attempts: 2})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			if err := d.Forward(t.Context(), f, &recordingSink{}); err != nil || b.prefills != 2 {
				t.Errorf("%v, %d prompts processed apart, want 2", err, b.prefills)
			}
			if n := len(d.cfg.Targets.suspects); n != test.failed {
				t.Errorf("%d targets count as failed, want %d", n, test.failed)
			}
		})
	}
}

// TestSplitUnreachable guards against a prompt that is processed again, and not counted as a retry, each
// time that the engine for the answer accepts no connection. The KV cache is still there.
func TestSplitUnreachable(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []Outcome
		calls    int
		released int
		fails    bool
	}{
		"reached in the end": {[]Outcome{notSent, addressReassigned, answer(200, events, nil)}, 3, 0, false},
		"never reached":      {[]Outcome{notSent, notSent, notSent}, 3, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: test.outcomes}
			d := newForwardDispatcher(t, b, desired.RolePrefill, desired.RoleMixed, desired.RoleMixed, desired.RoleMixed)
			f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			err := d.Forward(t.Context(), f, &recordingSink{})
			if b.prefills != 1 || len(b.calls) != test.calls || len(b.released) != test.released || (err != nil) != test.fails {
				t.Errorf("%d prompts, %d answers, released %v, error %v; want 1, %d, %d", b.prefills, len(b.calls), b.released, err, test.calls, test.released)
			}
			for i, c := range b.calls {
				if c.Import == nil {
					t.Errorf("answer %d without the KV cache", i)
				}
			}
		})
	}
}

// TestTimeLeft checks that a request ends at its deadline and that the error says correctly whether
// it ran.
func TestTimeLeft(t *testing.T) {
	for name, test := range map[string]struct {
		timeout, budget, want time.Duration
	}{
		"the rule's timeout":  {2 * time.Second, 3 * time.Second, 2 * time.Second},
		"the caller's budget": {3 * time.Second, time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scriptedBackend{block: true}
				d := newForwardDispatcher(t, b, "")
				f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryNever, Timeout: desired.Duration(test.timeout)})
				f.Budget = test.budget
				began := time.Now()
				err := d.Forward(t.Context(), f, &recordingSink{})
				if took := time.Since(began).Round(100 * time.Millisecond); took != test.want {
					t.Errorf("took %v, want %v", took, test.want)
				}
				if fault.StatusOf(err) != http.StatusGatewayTimeout || b.calls[0].Remaining > test.want {
					t.Errorf("error %v, the call had %v left", err, b.calls[0].Remaining)
				}
			})
		})
	}
}

// TestGrantBeforeForward checks that forward rules are matched from the document that was granted
// with the lease.
func TestGrantBeforeForward(t *testing.T) {
	g := NewGate()
	doc := desired.Document{Number: 3, Services: []desired.Service{{Name: "s", Kind: desired.KindPlain}}, Forwards: []desired.ForwardRule{
		{Name: "wide", Host: "h", Prefix: "/a/", Retry: desired.RetryNever, Timeout: 1, Split: []desired.WeightedService{{Service: "s", Weight: 1}}},
		{Name: "narrow", Host: "h", Prefix: "/a/b/", Retry: desired.RetryNever, Timeout: 1, Split: []desired.WeightedService{{Service: "s", Weight: 1}}},
	}}
	data, _, err := doc.Encode()
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	if err := g.ApplyGrant(now, &peer.Grant{Duration: time.Second, Version: 1, View: &state.View{Version: 1, Number: 3, Document: data}}); err != nil {
		t.Fatal(err)
	}
	c, err := g.Admit(now)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"/a/x": "wide", "/a/b/x": "narrow", "/a/bx": "wide", "/b/": ""} {
		f, ok := c.Document.ForwardRule("h", path)
		if ok != (want != "") || ok && f.Name != want {
			t.Errorf("path %s matched the rule %+v", path, f)
		}
	}
}
