package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/plain"
)

// newPlainDispatcher returns a dispatcher with facts and one target of a plain service, which runs h.
func newPlainDispatcher(t *testing.T, crashed bool, h http.HandlerFunc) *Dispatcher {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	d := newFactsDispatcher(t, &scriptedBackend{crashed: crashed}, "")
	d.cfg.Plain = plain.NewClient(nil)
	a := d.cfg.Targets.Records()[0].Announcement
	a.Sequence++
	a.Address = strings.TrimPrefix(server.URL, "http://")
	d.cfg.Targets.Announce(clock.Now(), a)
	return d
}

// newPlainRequest returns a request that may be repeated if it is a GET.
func newPlainRequest(method, path string) PlainRequest {
	return PlainRequest{
		Info:    RequestInfo{Tenant: &desired.Tenant{Name: "t"}, Class: &desired.Class{Name: "c"}, Config: &ActiveConfig{Document: &desired.Document{}, Version: 1, Number: 1}},
		Service: &desired.Service{Name: "s"}, MatchPath: path, Request: plain.Request{Method: method, Path: path, Header: http.Header{}},
	}
}

// TestPlainRequestCrashesTargets guards against a request of the project's own interface that is sent to one
// target after the other although it crashes them.
func TestPlainRequestCrashesTargets(t *testing.T) {
	for name, test := range map[string]struct {
		method  string
		crashed bool
		reports int
	}{
		"may be repeated":      {http.MethodGet, true, maxAttempts},
		"runs at most once":    {http.MethodPost, true, 1},
		"target still accepts": {http.MethodGet, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			d := newPlainDispatcher(t, test.crashed, func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				panic(http.ErrAbortHandler) // no response
			})
			p := newPlainRequest(test.method, "/dead")
			_, err := d.Plain(t.Context(), p)
			if fault.ResponseOf(err).Ran != fault.RanUnknown {
				t.Errorf("error %v, ran %s, want an unknown outcome", err, fault.ResponseOf(err).Ran)
			}
			d.cfg.Facts.began(clock.Now(), "another target", nil)
			batch, _ := d.cfg.Facts.Take(clock.Now())
			if got := len(batch.Evidence.Crashed); got != test.reports {
				t.Errorf("%d crashes reported, want %d", got, test.reports)
			}
			dead := quarantine.Suspect{Part: p.suspectParts()[0], Quarantined: true, Until: desired.Duration(time.Minute)}
			d.cfg.Facts.Apply(clock.Now(), 1, []quarantine.Suspect{dead})
			before := runs.Load()
			_, err = d.Plain(t.Context(), p)
			if !fault.Is(err, fault.PartQuarantined) || fault.ResponseOf(err).Ran != fault.RanNo || runs.Load() != before {
				t.Errorf("in quarantine: error %v, %d more runs", err, runs.Load()-before)
			}
			_, _ = d.Plain(t.Context(), newPlainRequest(test.method, "/other")) // fails as the target does
			if runs.Load() == before {
				t.Error("another request was not sent")
			}
		})
	}
}

// TestPlainRequestQuarantinedMeanwhile guards against the statement that a request has not run which was
// put in quarantine after its first attempt.
func TestPlainRequestQuarantinedMeanwhile(t *testing.T) {
	p := newPlainRequest(http.MethodGet, "/dead")
	var d *Dispatcher
	d = newPlainDispatcher(t, true, func(http.ResponseWriter, *http.Request) {
		dead := quarantine.Suspect{Part: p.suspectParts()[0], Quarantined: true, Until: desired.Duration(time.Minute)}
		d.cfg.Facts.Apply(clock.Now(), 1, []quarantine.Suspect{dead})
		panic(http.ErrAbortHandler) // no response
	})
	if _, err := d.Plain(t.Context(), p); fault.ResponseOf(err).Ran != fault.RanUnknown {
		t.Errorf("error %v, ran %s, want an unknown outcome", err, fault.ResponseOf(err).Ran)
	}
}

// TestPlainTargetCountsAsBroken guards against a plain service that gives broken answers and is chosen like a sound one, whatever
// may be done with the request.
func TestPlainTargetCountsAsBroken(t *testing.T) {
	for name, method := range map[string]string{"may be repeated": http.MethodGet, "runs at most once": http.MethodPost} {
		t.Run(name, func(t *testing.T) {
			d := newPlainDispatcher(t, false, func(http.ResponseWriter, *http.Request) {
				panic(http.ErrAbortHandler) // no response
			})
			if _, err := d.Plain(t.Context(), newPlainRequest(method, "/x")); err == nil {
				t.Fatal("an answer")
			}
			if n := len(d.cfg.Targets.suspects); n != 1 {
				t.Errorf("%d targets count as failed, want 1", n)
			}
		})
	}
}
