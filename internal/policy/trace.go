// Package policy measures the decision cores against simpler baselines on a small
// queue model: fake engines stepped in virtual time, seeded traces, reports that
// lag. It is no cluster simulator; instances, links and the quorum are left out but
// for the delays that the decisions depend on.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/router"
)

// Class of a traced request.
type Class int

// The classes.
const (
	Short Class = iota
	Long
)

// objective is a class's bound.
type objective struct {
	first, between time.Duration
}

var objectives = map[Class]objective{
	Short: {720 * time.Millisecond, 33 * time.Millisecond},
	Long:  {3 * time.Second, 50 * time.Millisecond},
}

// Arrival is one request of a trace.
type Arrival struct {
	At     time.Duration
	Tenant int
	Region int
	Class  Class
	Prompt ident.Tokens
	Pieces []uint64
	Answer int
}

// Segment is a part of a trace with one mix.
type Segment struct {
	For  time.Duration
	Long float64 // share of long documents
	Load float64 // offered load as a part of what the fleet can do at this mix
}

// Spec describes a trace.
type Spec struct {
	Name     string
	Segments []Segment
	Flood    float64 // factor by which tenant 0 sends more than its share
	Forged   bool    // tenant 0 says of every request that it comes back as told
	Crash    time.Duration
	Withdraw time.Duration
	Lag      time.Duration // more delay of reports
	Loss     float64       // part of cache events that is lost
}

const (
	regions   = 3
	engines   = 9
	tenants   = 6
	documents = 120 // documents that long requests draw their prefixes from

	shortPrompt, shortAnswer = 250, 250
	longMin, longMax         = 4000, 12000
	longAnswer               = 300
)

// engineSeconds returns the engine time that an average request of a mix needs.
func engineSeconds(long float64, r standin.Rates) (prefill, decode float64) {
	prompt := long*(longMin+longMax)/2 + (1-long)*shortPrompt
	answer := long*longAnswer + (1-long)*shortAnswer
	step := r.StepBase + time.Duration(r.Batch)*r.StepPerSeq
	return prompt / float64(r.Prefill), answer * step.Seconds() / float64(r.Batch)
}

// rate returns the requests a second that the fleet can do at a mix.
func rate(long float64, r standin.Rates) float64 {
	p, d := engineSeconds(long, r)
	return engines / (p + d)
}

// split returns the number of prefill engines that suits a mix.
func split(long float64, r standin.Rates) int {
	p, d := engineSeconds(long, r)
	n := int(p/(p+d)*engines + 0.5)
	return min(max(n, 1), engines-1)
}

// generate draws a trace.
func generate(s Spec, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []Arrival
	var at, start time.Duration
	for _, seg := range s.Segments {
		perSecond := rate(seg.Long, standin.DefaultRates()) * seg.Load
		at = start
		for {
			at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			if at >= start+seg.For {
				break
			}
			out = append(out, draw(rng, at, seg, s.Flood))
		}
		start += seg.For
	}
	return out
}

func draw(rng *rand.Rand, at time.Duration, seg Segment, flood float64) Arrival {
	a := Arrival{At: at, Tenant: rng.IntN(tenants), Region: rng.IntN(regions)}
	if flood > 0 && rng.Float64() < flood/(flood+1) {
		a.Tenant = 0
	}
	a.Answer = shortAnswer/2 + rng.IntN(shortAnswer)
	a.Prompt = ident.Tokens(shortPrompt/2 + rng.IntN(shortPrompt))
	if rng.Float64() >= seg.Long {
		return a
	}
	a.Class = Long
	a.Prompt = ident.Tokens(longMin + rng.IntN(longMax-longMin))
	a.Answer = longAnswer/2 + rng.IntN(longAnswer)
	doc := uint64(rng.IntN(documents))
	whole := int(a.Prompt / router.BlockTokens)
	shared := whole / 2 // the first half is a customer's history, the rest is new
	for i := range whole {
		h := doc<<32 | uint64(i)
		if i >= shared {
			h = rng.Uint64()
		}
		a.Pieces = append(a.Pieces, h)
	}
	return a
}

func steady(load float64) []Segment {
	return []Segment{{For: 2 * time.Minute, Long: 0.1, Load: load}}
}

// swinging changes the prefill share by 1.5 and 3, up and down, within two minutes.
func swinging(load float64) []Segment {
	var out []Segment
	for _, long := range []float64{0.1, 0.3, 0.033, 0.15, 0.067, 0.3, 0.033, 0.1} {
		out = append(out, Segment{For: 45 * time.Second, Long: long, Load: load})
	}
	return out
}

// Specs returns the traces that the policies are measured on.
func Specs() []Spec {
	return []Spec{
		{Name: "steady 0.5", Segments: steady(0.5)},
		{Name: "steady 0.9", Segments: steady(0.9)},
		{Name: "steady 1.0", Segments: steady(1.0)},
		{Name: "steady 1.1", Segments: steady(1.1)},
		{Name: "steady 2.0", Segments: steady(2.0)},
		{Name: "swinging", Segments: swinging(0.9)},
		{Name: "long fills", Segments: []Segment{{For: 2 * time.Minute, Long: 0.5, Load: 1.0}}},
		{Name: "flood", Segments: steady(1.3), Flood: 3},
		{Name: "crash", Segments: steady(0.7), Crash: 40 * time.Second},
		{Name: "withdraw", Segments: steady(0.7), Withdraw: 40 * time.Second},
		{Name: "late reports", Segments: steady(0.8), Lag: 5 * time.Second},
		{Name: "lost events", Segments: steady(0.8), Loss: 0.3},
	}
}
