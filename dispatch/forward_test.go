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

// scripted is a backend whose calls have the given outcomes, one after the other.
type scripted struct {
	outcomes []Outcome
	calls    []Call
	prefills int
	released []string
	block    bool // calls last until their context ends
}

func (s *scripted) Run(ctx context.Context, c Call) Outcome {
	s.calls = append(s.calls, c)
	if s.block {
		<-ctx.Done()
		return Unknown{ctx.Err()}
	}
	if len(s.outcomes) == 0 {
		return Unknown{errors.New("more calls than outcomes")}
	}
	o := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return o
}

func (s *scripted) Prefill(_ context.Context, c Call) (*KVCacheRef, Outcome) {
	s.prefills++
	return &KVCacheRef{Address: c.Address, Handle: fmt.Sprint("h", s.prefills)}, Answered{Status: http.StatusOK}
}

func (s *scripted) Release(_ context.Context, c *KVCacheRef) {
	s.released = append(s.released, c.Handle)
}

// answer returns an outcome with a body that ends with err.
func answer(status int, body string, err error) Outcome {
	return Answered{Status: status, Header: http.Header{"Signed": {"s"}}, Body: io.NopCloser(&cutReader{strings.NewReader(body), err})}
}

type cutReader struct {
	*strings.Reader
	err error
}

func (c *cutReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if err == io.EOF && c.err != nil {
		err = c.err
	}
	return n, err
}

// recorder is a sink that keeps what it gets.
type recorder struct {
	status int
	body   strings.Builder
	begins int
}

func (r *recorder) Begin(status int, _ http.Header) error {
	r.status = status
	r.begins++
	return nil
}

func (r *recorder) Write(p []byte) error {
	r.body.Write(p)
	return nil
}

// forwarder returns a dispatcher with targets of one service.
func forwarder(t *testing.T, b Backend, roles ...desired.Role) *Dispatcher {
	t.Helper()
	gate := NewGate()
	fleet := NewTargetPool(router.Config{Region: "r", Links: router.DefaultLinks(), Seed: 1, NoReservedEngine: true}, gate, 1)
	for i, role := range roles {
		a := target.Announcement{
			Target: ident.TargetID(fmt.Sprint("t", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Region: "r", Domain: "d",
			Incarnation: 1, Sequence: 1, Lease: desired.Duration(target.MaxLease), Load: target.Load{Slots: 8},
		}
		if role != "" {
			a.Engine = &target.EngineReport{Role: role}
			a.Load.Prefill = 100_000
			if role == desired.RoleMixed {
				a.Load.Prefill = 1000 // so that prompts go to the others
			}
		}
		fleet.Announce(clock.Now(), a)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	m := metrics.New()
	t.Cleanup(func() { _ = m.Close() })
	return New(Config{Gate: gate, Targets: fleet, Backend: b, Metrics: m, Log: logrus.NewEntry(logger), MaxRunning: 100})
}

// forward returns a request of a rule.
func forward(rule desired.ForwardRule) *ForwardRequest {
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
	errCut   = errors.New("cut")
	notSent  = NotRun{Reason: Unreachable, Err: errors.New("refused")}
	full     = NotRun{Reason: Full, Err: errors.New("full")}
	moved    = NotRun{Reason: AddressReassigned, Err: errors.New("another target")}
	vanished = Unknown{errors.New("reset")}
)

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// TestForward runs requests of every kind against targets that fail in every way.
func TestForward(t *testing.T) {
	once := desired.ForwardRule{Retry: desired.RetryNever}
	twice := desired.ForwardRule{Retry: desired.RetryFromStart, Attempts: 2}
	stream := desired.ForwardRule{Retry: desired.RetryNever, Stream: true}
	resumed := desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2}
	for name, test := range map[string]struct {
		rule     desired.ForwardRule
		outcomes []Outcome
		calls    int
		status   int // of the answer; of the refusal if there is none
		ran      fault.Ran
		body     string
		broken   bool
	}{
		"answered":                         {once, []Outcome{answer(200, "ok", nil)}, 1, 200, "", "ok", false},
		"a failure is passed on":           {once, []Outcome{answer(500, "no", nil)}, 1, 500, "", "no", false},
		"once, not reached":                {once, []Outcome{notSent, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"once, never reached":              {once, []Outcome{notSent, notSent, notSent}, 3, 503, fault.RanNo, "", false},
		"once, full":                       {once, []Outcome{full}, 1, 503, fault.RanNo, "", false},
		"once, another has the address":    {once, []Outcome{moved, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"once, may have run":               {once, []Outcome{vanished}, 1, 502, fault.RanUnknown, "", false},
		"once, answer cut":                 {once, []Outcome{answer(200, "o", errCut)}, 1, 502, fault.RanUnknown, "", false},
		"idempotent, may have run":         {twice, []Outcome{vanished, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, answer cut":           {twice, []Outcome{answer(200, "o", errCut), answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, full":                 {twice, []Outcome{full, answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, failed":               {twice, []Outcome{answer(500, "no", nil), answer(200, "ok", nil)}, 2, 200, "", "ok", false},
		"idempotent, failed twice":         {twice, []Outcome{answer(500, "no", nil), answer(500, "no", nil)}, 2, 500, "", "no", false},
		"idempotent, failed and lost":      {twice, []Outcome{answer(500, "no", nil), vanished}, 2, 500, "", "no", false},
		"idempotent, lost twice":           {twice, []Outcome{vanished, vanished}, 2, 502, fault.RanUnknown, "", false},
		"idempotent, lost, then full":      {twice, []Outcome{vanished, full}, 2, 502, fault.RanUnknown, "", false},
		"stream":                           {stream, []Outcome{answer(200, events, nil)}, 1, 200, "", events, false},
		"stream, cut":                      {stream, []Outcome{answer(200, events, errCut)}, 1, 200, fault.RanUnknown, events, true},
		"stream, cut within an event":      {stream, []Outcome{answer(200, events+"id: 3\nda", nil)}, 1, 200, fault.RanUnknown, events, true},
		"stream, cut before its beginning": {stream, []Outcome{answer(200, "", errCut)}, 1, 502, fault.RanUnknown, "", false},
		"resumed":                          {resumed, []Outcome{answer(200, events+"id: 3\nda", errCut), answer(200, "id: 3\ndata: c\n\n", nil)}, 2, 200, "", events + "id: 3\ndata: c\n\n", false},
		"resumed in vain":                  {resumed, []Outcome{answer(200, events, errCut), vanished}, 2, 200, fault.RanUnknown, events, true},
		"resumed, failed at first":         {resumed, []Outcome{answer(500, "no", nil), answer(200, events, nil)}, 2, 200, "", events, false},
		"resumed, then a failure":          {resumed, []Outcome{answer(200, events, errCut), answer(500, "no", nil)}, 2, 200, fault.RanUnknown, events, true},
		"resumed, the second not reached":  {resumed, []Outcome{answer(200, events, errCut), notSent, answer(200, "id: 3\ndata: c\n\n", nil)}, 3, 200, "", events + "id: 3\ndata: c\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scripted{outcomes: test.outcomes}
			d := forwarder(t, b, "", "", "", "")
			var sink recorder
			err := d.Forward(t.Context(), forward(test.rule), &sink)
			if len(b.calls) != test.calls {
				t.Errorf("%d calls, want %d", len(b.calls), test.calls)
			}
			var cut *TruncatedAnswerError
			if errors.As(err, &cut) != test.broken {
				t.Errorf("broken: %v", err)
			}
			status := sink.status
			if sink.begins == 0 {
				status = fault.StatusOf(err)
			}
			if status != test.status || sink.body.String() != test.body || sink.begins > 1 {
				t.Errorf("status %d, body %q, begun %d times: %v", status, sink.body.String(), sink.begins, err)
			}
			if test.ran != "" && !test.broken && fault.ResponseOf(err).Ran != test.ran {
				t.Errorf("ran %s, want %s: %v", fault.ResponseOf(err).Ran, test.ran, err)
			}
		})
	}
}

// TestResumePoint checks that a broken stream goes on after the last whole event.
func TestResumePoint(t *testing.T) {
	b := &scripted{outcomes: []Outcome{answer(200, events+"id: 3\nda", errCut), answer(200, "id: 3\ndata: c\n\n", nil)}}
	d := forwarder(t, b, "", "")
	f := forward(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
	f.LastEventID = "0"
	if err := d.Forward(t.Context(), f, &recorder{}); err != nil {
		t.Fatal(err)
	}
	if b.calls[0].LastEventID != "0" || b.calls[1].LastEventID != "2" || b.calls[0].Target == b.calls[1].Target {
		t.Errorf("%+v", b.calls)
	}
}

// TestSplit checks that a long prompt is processed at one engine and answered at
// another, and that a copy which nobody used is freed.
func TestSplit(t *testing.T) {
	for name, test := range map[string]struct {
		outcome  Outcome
		released int
	}{
		"used":     {answer(200, events, nil), 0},
		"rejected": {NotRun{Reason: Full, Err: errors.New("full")}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scripted{outcomes: []Outcome{test.outcome}}
			d := forwarder(t, b, desired.RolePrefill, desired.RoleMixed)
			f := forward(desired.ForwardRule{Retry: desired.RetryNever, Stream: true})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			_ = d.Forward(t.Context(), f, &recorder{}) // the calls tell
			if b.prefills != 1 || len(b.calls) != 1 || b.calls[0].Import == nil || len(b.released) != test.released {
				t.Errorf("%d prefills, released %v, calls %+v", b.prefills, b.released, b.calls)
			}
		})
	}
}

// TestSplitRejected replays an engine that rejects every answer whose prompt was processed elsewhere: another one is tried,
// and the retry budget counts the prompt that is processed again as well as the answer.
func TestSplitRejected(t *testing.T) {
	gone := NotRun{Reason: KVCacheGone, Err: errors.New("rejected")}
	for name, test := range map[string]struct {
		slack int
		calls int
	}{
		"room for one more attempt":  {3, 2},
		"room for half of one":       {2, 1},
		"room for all that may come": {100, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scripted{outcomes: []Outcome{gone, gone, gone, gone}}
			d := forwarder(t, b, desired.RolePrefill, desired.RolePrefill, desired.RoleMixed, desired.RoleMixed)
			d.cfg.Retries = admit.RetryLimit{Ratio: 0, Window: 10 * time.Second, Slack: test.slack}
			f := forward(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
			f.Parts = []router.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 900}}
			_ = d.Forward(t.Context(), f, &recorder{}) // the calls tell
			if len(b.calls) != test.calls || b.prefills != test.calls {
				t.Fatalf("%d prompts, %d answers, want %d", b.prefills, len(b.calls), test.calls)
			}
			for i := 1; i < len(b.calls); i++ {
				if b.calls[i].Target == b.calls[i-1].Target {
					t.Errorf("answer %d went to the engine that had rejected the one before", i)
				}
			}
		})
	}
}

// TestTimeLeft checks that a request is given up on at the end of its time, with the
// truth about whether it ran.
func TestTimeLeft(t *testing.T) {
	for name, test := range map[string]struct {
		timeout, budget, want time.Duration
	}{
		"the rule's timeout":  {2 * time.Second, 3 * time.Second, 2 * time.Second},
		"the caller's budget": {3 * time.Second, time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &scripted{block: true}
				d := forwarder(t, b, "")
				f := forward(desired.ForwardRule{Retry: desired.RetryNever, Timeout: desired.Duration(test.timeout)})
				f.Budget = test.budget
				began := time.Now()
				err := d.Forward(t.Context(), f, &recorder{})
				if took := time.Since(began).Round(100 * time.Millisecond); took != test.want {
					t.Errorf("took %v, want %v", took, test.want)
				}
				if fault.StatusOf(err) != http.StatusGatewayTimeout || b.calls[0].Remaining > test.want {
					t.Errorf("%v, %v left", err, b.calls[0].Remaining)
				}
			})
		})
	}
}

// TestGrantBeforeForward checks that the gate's document is what rules are taken from.
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
			t.Errorf("%s: %+v", path, f)
		}
	}
}
