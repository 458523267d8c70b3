package desired

import (
	"fmt"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
)

// ForwardRule is a rule for requests that are passed on as they are: which service gets
// them, and what may be done with them. Among the rules of a host the one with the longest
// prefix counts.
type ForwardRule struct {
	Name          string            `json:"name"`
	Host          string            `json:"host"`
	Prefix        string            `json:"prefix"` // of the path; begins and ends with a slash
	Retry         RetryMode         `json:"repeat"`
	Stream        bool              `json:"stream,omitempty"`   // the answer is a series of events
	Timeout       Duration          `json:"timeout"`            // longest time until the final answer
	FirstEvent    Duration          `json:"first,omitempty"`    // objective for the answer, or for its first event
	BetweenEvents Duration          `json:"between,omitempty"`  // objective between two events
	Priority      int               `json:"priority,omitempty"` // larger goes first
	Attempts      int               `json:"attempts,omitempty"` // targets that one request may be sent to; 0 means 1
	Split         []WeightedService `json:"split"`              // services with their weights
}

// RetryMode says what may be repeated of a request.
type RetryMode string

// What may be repeated.
const (
	RetryNever     RetryMode = "never"  // runs at most once
	RetryFromStart RetryMode = "whole"  // idempotent: may run again from the beginning
	RetryResume    RetryMode = "resume" // a stream that goes on elsewhere after its last event
)

// WeightedService is a service with its weight among those of a rule.
type WeightedService struct {
	Service ident.ServiceID `json:"service"`
	Weight  float64         `json:"weight"`
}

// MaxAttempts returns the number of targets that one request may be sent to.
func (f *ForwardRule) MaxAttempts() int { return max(1, f.Attempts) }

// Pick returns the service at a point between 0 and 1 of the weights.
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

// ForwardRule returns the rule for a path on a host.
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

// place is where a rule applies.
type place struct{ host, prefix string }

func (v *validator) forwards() {
	first := map[place]int{}
	for i := range v.d.Forwards {
		f := &v.d.Forwards[i]
		path := fmt.Sprintf("$.forwards[%d]", i)
		at := place{f.Host, f.Prefix}
		if j, twice := first[at]; twice {
			v.faults.Add(path+".prefix", "host %q and prefix %q stand at $.forwards[%d] already", f.Host, f.Prefix, j)
		}
		first[at] = i
		v.forward(path, f)
	}
}

func (v *validator) forward(path string, f *ForwardRule) {
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
		v.faults.Add(path, "has a negative objective or number of attempts")
	}
	total := 0.0
	for i, s := range f.Split {
		if s.Weight < 0 {
			v.faults.Add(fmt.Sprintf("%s.split[%d].weight", path, i), "is negative")
		}
		total += s.Weight
		v.reference(fmt.Sprintf("%s.split[%d].service", path, i), s.Service)
	}
	if total <= 0 {
		v.faults.Add(path+".split", "the weights add up to nothing")
	}
}
