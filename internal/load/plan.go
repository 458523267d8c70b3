// Package load generates open-loop load. Requests start at times drawn from a seeded
// Poisson process, whether or not earlier requests have completed, and latencies count
// from the scheduled start, so that a slow system can't hide its queueing delay by
// slowing the generator. Every answer is checked for completeness and against the text
// that the fake engines generate for its prompt. The fake services count how often each
// payment ran.
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests. They are the classes of the report.
const (
	Short   Kind = "short"   // a chat request with a short prompt, streamed
	Long    Kind = "long"    // a chat request with a long prompt, streamed
	Lookup  Kind = "lookup"  // an idempotent request to a plain service
	Payment Kind = "payment" // a request to a plain service that must run at most once
)

// Mix is the share of each kind among the requests. The shares need not add up to 1.
type Mix struct {
	Short   float64 `json:"short"`
	Long    float64 `json:"long"`
	Lookup  float64 `json:"lookup"`
	Payment float64 `json:"payment"`
}

// DefaultMix returns a mix that approximates a day's traffic of the Association, the
// deployment in examples.
func DefaultMix() Mix { return Mix{Short: 0.6, Long: 0.1, Lookup: 0.2, Payment: 0.1} }

// Spec describes a load. Its requests are a function of the spec alone.
type Spec struct {
	Rate     float64       `json:"rate"` // mean arrival rate, requests per second
	Duration time.Duration `json:"for"`
	Seed     uint64        `json:"seed"`
	Mix      Mix           `json:"mix"`
	Tenants  []string      `json:"tenants"`
	Tokens   int           `json:"tokens"` // tokens per answer
}

// Item is one planned request.
type Item struct {
	At     time.Duration // scheduled start, from the start of the load
	Kind   Kind
	Tenant string
	Text   string // prompt, lookup code or idempotency key
}

const (
	longPromptWords    = 4000
	longPromptPrefixes = 20 // distinct prefixes that long prompts share
)

// Plan draws the requests of a load in the order of their start. Equal specs give equal
// plans.
func Plan(s Spec) []Item {
	rng := rand.New(rand.NewPCG(s.Seed, 6))
	var items []Item
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= s.Duration {
			return items
		}
		item := Item{At: at, Kind: s.Mix.drawKind(rng), Tenant: s.Tenants[rng.IntN(len(s.Tenants))]}
		switch item.Kind {
		case Short:
			item.Text = fmt.Sprintf("Question %d: has roll %d arrived?", len(items), rng.IntN(1000))
		case Long:
			history := strings.Repeat(fmt.Sprintf("customer %d pushed two stops; ", rng.IntN(longPromptPrefixes)), longPromptWords/5)
			item.Text = history + fmt.Sprintf("Question %d: which chemistry?", len(items))
		case Lookup:
			item.Text = fmt.Sprintf("TT-%d", rng.IntN(1000))
		case Payment:
			item.Text = fmt.Sprintf("load-%d-%d", s.Seed, len(items))
		}
		items = append(items, item)
	}
}

// drawKind draws a kind with the probabilities of the mix.
func (m Mix) drawKind(rng *rand.Rand) Kind {
	x := rng.Float64() * (m.Short + m.Long + m.Lookup + m.Payment)
	switch {
	case x < m.Short:
		return Short
	case x < m.Short+m.Long:
		return Long
	case x < m.Short+m.Long+m.Lookup:
		return Lookup
	default:
		return Payment
	}
}
