package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

// deadlySuspect is a part in quarantine.
var deadlySuspect = quarantine.Suspect{Part: quarantine.Part{Service: "s", ID: "dead"}, Quarantined: true, Until: desired.Duration(time.Minute)}

// newFactsDispatcher returns a dispatcher with facts and engines of the given roles.
func newFactsDispatcher(t *testing.T, b Backend, roles ...desired.Role) *Dispatcher {
	d := newForwardDispatcher(t, b, roles...)
	d.cfg.Facts = NewFacts("i")
	return d
}

// newPrompt returns a request with two shared parts and one of its own.
func newPrompt(second string) *ForwardRequest {
	f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2, Split: []desired.WeightedService{{Service: "s", Weight: 1}, {Service: "other", Weight: 1}}})
	f.Parts = []router.Part{{ID: "first", Tokens: 500}, {ID: second, Tokens: 200}, {ID: "own", Tokens: 100}}
	return f
}

// TestQuarantinedPart shows when a request is refused because of a part of its prompt: before it is sent,
// and before it is sent again.
func TestQuarantinedPart(t *testing.T) {
	for name, test := range map[string]struct {
		second     string
		later      bool // the quarantine begins during the first attempt
		calls      int
		wantRefuse bool
		ran        fault.Ran
	}{
		"deadly part":                       {"dead", false, 0, true, fault.RanNo},
		"another part":                      {"sound", false, 1, false, ""},
		"quarantined after a first attempt": {"dead", true, 1, true, fault.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{answer(200, events, nil)}}
			if test.later {
				b.outcomes = []Outcome{connectionReset, answer(200, events, nil)}
			}
			d := newFactsDispatcher(t, b, desired.RoleMixed, desired.RoleMixed)
			if test.later {
				d.cfg.Backend = &quarantiningBackend{b, d.cfg.Facts, deadlySuspect}
			} else {
				d.cfg.Facts.Apply(clock.Now(), 1, []quarantine.Suspect{deadlySuspect})
			}
			err := d.Forward(t.Context(), newPrompt(test.second), &recordingSink{})
			if len(b.calls) != test.calls || (err != nil) != test.wantRefuse {
				t.Fatalf("%d calls, error %v", len(b.calls), err)
			}
			if test.wantRefuse && fault.ResponseOf(err).Ran != test.ran {
				t.Errorf("ran=%s, want %s: %v", fault.ResponseOf(err).Ran, test.ran, err)
			}
			if test.ran == fault.RanNo && (!fault.Is(err, fault.PartQuarantined) || fault.ResponseOf(err).RetryAfter < 50*time.Second) {
				t.Errorf("refused with %v, retry after %v, want the rest of the quarantine", err, fault.ResponseOf(err).RetryAfter)
			}
		})
	}
}

// quarantiningBackend puts a part in quarantine while a call is in progress.
type quarantiningBackend struct {
	*scriptedBackend
	facts *Facts
	dead  quarantine.Suspect
}

func (q *quarantiningBackend) Run(ctx context.Context, c Call) Outcome {
	q.facts.Apply(clock.Now(), 1, []quarantine.Suspect{q.dead})
	return q.scriptedBackend.Run(ctx, c)
}

// TestQuarantinedRequest shows that a request without a prompt is refused while its digest is in quarantine,
// before its first attempt and before the next one, and that another request is not.
func TestQuarantinedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		uri        string
		later      bool // the quarantine begins during the first attempt
		retry      desired.RetryMode
		calls      int
		wantRefuse bool
		ran        fault.Ran
	}{
		"deadly request":                           {"/a/dead", false, desired.RetryFromStart, 0, true, fault.RanNo},
		"deadly request that must not be resent":   {"/a/dead", false, desired.RetryNever, 0, true, fault.RanNo},
		"another request":                          {"/a/sound", false, desired.RetryFromStart, 1, false, ""},
		"quarantined after a first attempt":        {"/a/dead", true, desired.RetryFromStart, 1, true, fault.RanUnknown},
		"quarantined after the only attempt":       {"/a/dead", true, desired.RetryNever, 1, true, fault.RanUnknown},
		"another request that breaks off at first": {"/a/sound", true, desired.RetryFromStart, 2, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newForwardRequest(desired.ForwardRule{Retry: test.retry, Attempts: 3, Split: []desired.WeightedService{{Service: "s", Weight: 1}}})
			f.URI = "/a/dead"
			dead := quarantine.Suspect{Part: quarantine.Part{Service: "s", ID: f.Digest(), Whole: true}, Quarantined: true, Until: desired.Duration(time.Minute)}
			f.URI = test.uri
			b := &scriptedBackend{outcomes: []Outcome{answer(200, "whole", nil)}}
			if test.later {
				b.outcomes = []Outcome{connectionReset, answer(200, "whole", nil)}
			}
			d := newFactsDispatcher(t, b, "", "")
			if test.later {
				d.cfg.Backend = &quarantiningBackend{b, d.cfg.Facts, dead}
			} else {
				d.cfg.Facts.Apply(clock.Now(), 1, []quarantine.Suspect{dead})
			}
			err := d.Forward(t.Context(), f, &recordingSink{})
			if len(b.calls) != test.calls || (err != nil) != test.wantRefuse {
				t.Fatalf("%d calls, error %v", len(b.calls), err)
			}
			if test.wantRefuse && fault.ResponseOf(err).Ran != test.ran {
				t.Errorf("ran=%s, want %s: %v", fault.ResponseOf(err).Ran, test.ran, err)
			}
		})
	}
}

// TestCrashReport shows which broken answers are evidence against the parts of a prompt.
func TestCrashReport(t *testing.T) {
	for name, test := range map[string]struct {
		outcome Outcome
		crashed bool
		parts   int
		head    bool
	}{
		"no response, engine gone":            {connectionReset, true, 3, false},
		"head only, engine gone":              {answer(200, "", errTruncated), true, 3, true},
		"no response, engine accepts more":    {connectionReset, false, 0, false},
		"after an event, engine gone":         {answer(200, events, errTruncated), true, 0, false},
		"inside the first event, engine gone": {answer(200, "id: 1\nda", nil), true, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{test.outcome}, crashed: test.crashed}
			d := newFactsDispatcher(t, b, desired.RoleMixed)
			f := newPrompt("dead")
			f.Rule.Attempts = 1
			_ = d.Forward(t.Context(), f, &recordingSink{}) // the report shows the result
			d.cfg.Facts.began(clock.Now(), "another target", nil)
			batch, _ := d.cfg.Facts.Take(clock.Now())
			reported := batch.Evidence.Crashed
			if len(reported) != test.parts {
				t.Fatalf("%d parts reported, want %d: %+v", len(reported), test.parts, reported)
			}
			for depth, c := range reported {
				if c.Part.Whole != (depth == 2) || c.Depth != depth || c.Head != test.head || c.Crash != (quarantine.Crash{Target: "t0", Incarnation: 1}) {
					t.Errorf("reported %+v", c)
				}
			}
		})
	}
}

// fakeOrigins knows one stream, or fails.
type fakeOrigins struct {
	known  stream.Key
	origin stream.Origin
	err    error
}

// FindOrigin returns the origin of the known stream.
func (f fakeOrigins) FindOrigin(_ context.Context, k stream.Key, _ ident.ServiceID, _ time.Duration) (stream.Origin, bool, error) {
	return f.origin, k == f.known, f.err
}

// announceSoftware makes the targets of a dispatcher announce a software version each.
func announceSoftware(d *Dispatcher, versions ...ident.SoftwareVersion) {
	for _, r := range d.cfg.Targets.Records() {
		a := r.Announcement
		a.Sequence++
		a.Software = versions[a.Target[1]-'0']
		d.cfg.Targets.Announce(clock.Now(), a)
	}
}

// TestTakenUpStream shows where a stream that a caller takes up goes on, and when it is refused.
func TestTakenUpStream(t *testing.T) {
	lost := errors.New("no voter replies")
	v1, v3 := stream.Origin{Service: "s", Software: "v1"}, stream.Origin{Service: "s", Software: "v3"}
	elsewhere := stream.Origin{Service: "unrelated", Software: "v1"}
	for name, test := range map[string]struct {
		origins fakeOrigins
		own     bool // this instance began the stream
		kind    fault.Kind
		retry   bool
		calls   int
	}{
		"known to a voter":           {fakeOrigins{known: stream.KeyOf("begun"), origin: v1}, false, 0, false, 1},
		"begun here":                 {fakeOrigins{}, true, 0, false, 1},
		"known to nobody":            {fakeOrigins{}, false, fault.StreamUnknown, false, 0},
		"nobody replies":             {fakeOrigins{err: lost}, false, fault.StreamUnknown, true, 0},
		"its version is gone":        {fakeOrigins{known: stream.KeyOf("begun"), origin: v3}, false, fault.NoTarget, true, 0},
		"its service is not allowed": {fakeOrigins{known: stream.KeyOf("begun"), origin: elsewhere}, false, fault.StreamUnknown, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{answer(200, "id: 3\ndata: c\n\n", nil)}}
			d := newFactsDispatcher(t, b, desired.RoleMixed, desired.RoleMixed)
			announceSoftware(d, "v2", "v1")
			d.cfg.Origins = test.origins
			if test.own {
				d.cfg.Facts.streamBegun(clock.Now(), stream.Begun{Origin: v1, Left: time.Minute, Keys: []stream.Key{stream.KeyOf("begun")}})
			}
			f := newPrompt("sound")
			f.BegunBy, f.LastEventID = "begun", "2"
			err := d.Forward(t.Context(), f, &recordingSink{})
			if len(b.calls) != test.calls || test.calls > 0 && (err != nil || b.calls[0].Target != "t1") {
				t.Fatalf("calls %+v, error %v", b.calls, err)
			}
			if test.calls > 0 {
				return
			}
			if r := fault.ResponseOf(err); fault.KindOf(err) != test.kind || r.Ran != fault.RanNo || (r.RetryAfter > 0) != test.retry {
				t.Errorf("refused with %v: %+v", err, r)
			}
		})
	}
}

// TestVersionOfBegunStream guards against a stream whose version nobody is told.
func TestVersionOfBegunStream(t *testing.T) {
	b := &scriptedBackend{outcomes: []Outcome{answer(200, events, nil)}}
	d := newFactsDispatcher(t, b, desired.RoleMixed)
	announceSoftware(d, "v1")
	if err := d.Forward(t.Context(), newPrompt("sound"), &recordingSink{}); err != nil {
		t.Fatal(err)
	}
	batch, _ := d.cfg.Facts.Take(clock.Now())
	if len(batch.Streams) != 1 || batch.Streams[0].Origin != (stream.Origin{Service: "s", Software: "v1"}) || batch.Streams[0].Keys[0] != stream.KeyOf("id") || batch.Streams[0].Left < stream.MinRetention-time.Second {
		t.Errorf("told %+v", batch.Streams)
	}
}

// TestResumedWithinVersion guards against an answer that goes on at an engine of another software version,
// and against KV cache that is used at one.
func TestResumedWithinVersion(t *testing.T) {
	for name, test := range map[string]struct {
		roles    []desired.Role
		versions []ident.SoftwareVersion
		outcomes []Outcome
		targets  []ident.TargetID
		imports  bool
		fails    bool
	}{
		"goes on at the same version": {
			[]desired.Role{desired.RoleMixed, desired.RoleMixed, desired.RoleMixed}, []ident.SoftwareVersion{"v1", "v1", "v1"},
			[]Outcome{answer(200, events, errTruncated), answer(200, "id: 3\ndata: c\n\n", nil)}, nil, false, false},
		"KV cache of the same version": {
			[]desired.Role{desired.RolePrefill, desired.RoleMixed}, []ident.SoftwareVersion{"v1", "v1"},
			[]Outcome{answer(200, events, nil)}, []ident.TargetID{"t1"}, true, false},
		"KV cache of another version is not used": {
			[]desired.Role{desired.RolePrefill, desired.RoleMixed}, []ident.SoftwareVersion{"v1", "v2"},
			[]Outcome{answer(200, events, nil)}, []ident.TargetID{"t1"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: test.outcomes}
			d := newFactsDispatcher(t, b, test.roles...)
			announceSoftware(d, test.versions...)
			f := newPrompt("sound")
			f.Parts[0].Tokens = 9000
			err := d.Forward(t.Context(), f, &recordingSink{})
			if (err != nil) != test.fails || len(b.calls) != len(test.outcomes) {
				t.Fatalf("calls %+v, error %v", b.calls, err)
			}
			for i, want := range test.targets {
				if b.calls[i].Target != want || (b.calls[i].Import != nil) != test.imports {
					t.Errorf("call %d: %+v", i, b.calls[i])
				}
			}
		})
	}
}

// TestNoTargetOfVersion guards against an answer that goes on elsewhere where its version has no other
// engine. It stays truncated, and its caller may take it up.
func TestNoTargetOfVersion(t *testing.T) {
	b := &scriptedBackend{outcomes: []Outcome{answer(200, events, errTruncated), answer(200, "id: 3\ndata: c\n\n", nil)}}
	d := newFactsDispatcher(t, b, desired.RoleMixed, desired.RoleMixed)
	announceSoftware(d, "v1", "v2")
	var sink recordingSink
	err := d.Forward(t.Context(), newPrompt("sound"), &sink)
	if len(b.calls) == 2 && b.calls[0].Target != b.calls[1].Target {
		t.Errorf("went on at another version: %+v", b.calls)
	}
	if len(b.calls) == 1 && (err == nil || sink.status != http.StatusOK) {
		t.Errorf("status %d, error %v, want a truncated answer", sink.status, err)
	}
}

// TestCutOffInstanceAccusesNoTarget guards against a placer that takes targets out for the whole region, because an
// instance that is cut off could not reach them.
func TestCutOffInstanceAccusesNoTarget(t *testing.T) {
	for name, doubtful := range map[string]bool{"cut off": true, "connected": false} {
		t.Run(name, func(t *testing.T) {
			for _, outcome := range []Outcome{NotRun{Reason: Unreachable, Err: errTruncated}, connectionReset} {
				d := newFactsDispatcher(t, &scriptedBackend{crashed: true}, "")
				d.cfg.Doubtful = func() bool { return doubtful }
				r := &forwardRun{d: d, req: newForwardRequest(desired.ForwardRule{Attempts: 1}), parts: suspectParts("s", nil, "digest")}
				a, err := d.cfg.Targets.Choose(clock.Now(), r.routeRequest(router.StageAny))
				if err != nil {
					t.Fatal(err)
				}
				accused := false
				a.notify = func(n peer.Note) {
					accused = accused || n.Event == peer.NoteUnreachable || n.Event == peer.NoteFailed
				}
				_, _ = r.handleFailure(t.Context(), a, outcome)
				if accused == doubtful {
					t.Errorf("%T: told the placer that the target fails: %v", outcome, accused)
				}
			}
		})
	}
}
