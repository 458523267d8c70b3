package dispatch

import (
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/router"
)

// TestPromptLargerThanMemory checks that a prompt that no engine has memory for is refused at once, as by an engine
// that is full, whatever length it claims.
func TestPromptLargerThanMemory(t *testing.T) {
	for name, test := range map[string]struct {
		capacity, prompt ident.Tokens
		served           bool
	}{
		"fits":                           {1000, 1000, true},
		"too large":                      {1000, 1001, false},
		"far too large":                  {1000, 1_000_000_000, false},
		"memory is not known":            {0, router.MaxPromptTokens, true},
		"memory is not known, too large": {0, 1_000_000_000, false},
		"memory is said to be endless":   {1e12, 1_000_000_000, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{answer(http.StatusOK, "ok", nil)}}
			d := newForwardDispatcher(t, b, desired.RoleMixed)
			f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryNever})
			f.Config.Document.Services = []desired.Service{{Name: f.Service, KVCapacity: test.capacity}}
			f.Parts = []router.Part{{ID: "a", Tokens: test.prompt - 1}, {ID: "b", Tokens: 1}}
			var sink recordingSink
			err := d.Forward(t.Context(), f, &sink)
			if test.served {
				if err != nil || len(b.calls) != 1 {
					t.Errorf("%d calls: %v", len(b.calls), err)
				}
				return
			}
			if !fault.Is(err, fault.Overloaded) || fault.ResponseOf(err).Ran != fault.RanNo || len(b.calls) > 0 {
				t.Errorf("%d calls: %v", len(b.calls), err)
			}
		})
	}
}
