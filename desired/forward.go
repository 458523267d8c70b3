package desired

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// ForwardRule is a routing rule for requests that are forwarded unchanged. It sets the
// services that receive them, the timeout and the retry mode. Among the matching rules
// of a host, the one with the longest path prefix applies.
type ForwardRule struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"` // path prefix; begins and ends with a slash
	Retry  RetryMode `json:"repeat"`
	Stream bool      `json:"stream,omitempty"` // the response is a stream of events
	// Timeout is the longest time until the final response.
	Timeout Duration `json:"timeout"`
	// FirstEvent is the objective for the time to the response, or to its first event.
	FirstEvent Duration `json:"first,omitempty"`
	// BetweenEvents is the objective for the time between two events.
	BetweenEvents Duration `json:"between,omitempty"`
	// Priority orders the requests at a target: larger values run first. Values above 0
	// count as 0.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of targets to which one request may be sent; 0 means 1.
	Attempts int `json:"attempts,omitempty"`
	// Public rules take requests without an API key, for no tenant.
	Public bool              `json:"public,omitempty"`
	Split  []WeightedService `json:"split"`
}

// RetryMode specifies how a request may be retried.
type RetryMode string

// The retry modes.
const (
	RetryNever     RetryMode = "never"  // runs at most once
	RetryFromStart RetryMode = "whole"  // idempotent: may be run again from the start
	RetryResume    RetryMode = "resume" // streams resume at another target after the last event
)

// WeightedService is a service with its share of a rule's requests.
type WeightedService struct {
	Service ident.ServiceID `json:"service"`
	Weight  float64         `json:"weight"`
}

// MaxAttempts returns the number of targets to which one request may be sent.
func (f *ForwardRule) MaxAttempts() int { return max(1, f.Attempts) }

// Pick returns the service for a point in [0, 1), which selects services in proportion
// to their weights if it is uniformly distributed.
func (f *ForwardRule) Pick(point float64) ident.ServiceID {
	total := 0.0
	for _, s := range f.Split {
		total += s.Weight
	}
	at := point * total
	for _, s := range f.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return f.Split[len(f.Split)-1].Service
}

// ForwardRule returns the rule with the longest prefix that matches a path on a host.
func (d *Document) ForwardRule(host, path string) (*ForwardRule, bool) {
	var best *ForwardRule
	for i := range d.Forwards {
		f := &d.Forwards[i]
		if f.Host == host && strings.HasPrefix(path, f.Prefix) && (best == nil || len(f.Prefix) > len(best.Prefix)) {
			best = f
		}
	}
	return best, best != nil
}

// hostPrefix is the scope of a rule.
type hostPrefix struct{ host, prefix string }

func (v *validator) checkForwardRules() {
	first := map[hostPrefix]int{}
	for i := range v.doc.Forwards {
		f := &v.doc.Forwards[i]
		path := fmt.Sprintf("$.forwards[%d]", i)
		at := hostPrefix{f.Host, f.Prefix}
		if j, duplicate := first[at]; duplicate {
			v.faults.Add(path+".prefix", "duplicate of host %q and prefix %q at $.forwards[%d]", f.Host, f.Prefix, j)
		}
		first[at] = i
		v.checkForwardRule(path, f)
	}
}

func (v *validator) checkForwardRule(path string, f *ForwardRule) {
	if f.Host == "" {
		v.faults.Add(path+".host", "is empty")
	}
	if !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/") {
		v.faults.Add(path+".prefix", "want a path that begins and ends with /, not %q", f.Prefix)
	}
	switch f.Retry {
	case RetryNever, RetryFromStart, RetryResume:
	default:
		v.faults.Add(path+".repeat", "want %q, %q or %q, not %q", RetryNever, RetryFromStart, RetryResume, f.Retry)
	}
	if f.Timeout <= 0 || time.Duration(f.Timeout) > maxTimeout {
		v.faults.Add(path+".timeout", "want more than 0s and at most %v", maxTimeout)
	}
	if f.FirstEvent < 0 || f.BetweenEvents < 0 || f.Attempts < 0 {
		v.faults.Add(path, "want objectives and a number of attempts that are not negative")
	}
	total := 0.0
	for i, s := range f.Split {
		if s.Weight < 0 {
			v.faults.Add(fmt.Sprintf("%s.split[%d].weight", path, i), "is negative")
		}
		total += s.Weight
		v.checkServiceExists(fmt.Sprintf("%s.split[%d].service", path, i), s.Service)
	}
	if total <= 0 {
		v.faults.Add(path+".split", "want weights with a positive sum")
	}
}
