// Package policy compares the decision cores for routing, admission and role planning with
// simpler baselines in a discrete-event simulation: fake engines are stepped in virtual time,
// arrivals are drawn from seeded traces, and load reports arrive late. It does not simulate a
// cluster: of instances, links and the quorum it models only the delays that the decisions
// depend on.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/router"
)

// Class is the class of a request.
type Class int

// The classes of requests.
const (
	Short Class = iota
	Long
)

// objective holds the latency bounds of a class: the time to the first token and the 95th
// percentile of the times between tokens.
type objective struct {
	firstToken, betweenTokens time.Duration
}

var objectives = map[Class]objective{
	Short: {720 * time.Millisecond, 33 * time.Millisecond},
	Long:  {3 * time.Second, 50 * time.Millisecond},
}

// Arrival is one request of a trace.
type Arrival struct {
	At           time.Duration
	Tenant       int
	Region       int
	Class        Class
	PromptTokens ident.Tokens
	Blocks       []uint64 // hashes of the prompt's blocks
	AnswerTokens int      // tokens
}

// Segment is a part of a trace with a constant mix.
type Segment struct {
	Duration  time.Duration
	LongShare float64 // share of long requests
	Load      float64 // offered load relative to the capacity of the fleet at this mix
}

// Spec describes a trace.
type Spec struct {
	Name           string
	Segments       []Segment
	Flood          float64       // additional requests of tenant 0, as a multiple of the evenly spread ones
	ForgedRetries  bool          // tenant 0 claims that every request is a retry after Retry-After
	CrashAt        time.Duration // time at which an engine crashes; 0 for never
	DrainAt        time.Duration // time at which an engine is drained; 0 for never
	ReportLag      time.Duration // additional delay of reports
	CacheEventLoss float64       // fraction of cache events that is lost
}

const (
	regionCount   = 3
	engineCount   = 9
	tenantCount   = 6
	documentCount = 120 // distinct prefixes of long prompts

	// Mean lengths of short prompts and answers, the range of long prompts and the mean
	// length of long answers, in tokens.
	shortPrompt, shortAnswer = 250, 250
	longMin, longMax         = 4000, 12000
	longAnswer               = 300
)

// engineSeconds returns the engine time in seconds that the mean request of a mix takes.
func engineSeconds(long float64, r standin.Rates) (prefill, decode float64) {
	prompt := long*(longMin+longMax)/2 + (1-long)*shortPrompt
	answer := long*longAnswer + (1-long)*shortAnswer
	step := r.StepBase + time.Duration(r.MaxBatch)*r.StepPerSeq
	return prompt / float64(r.PrefillRate), answer * step.Seconds() / float64(r.MaxBatch)
}

// fleetRate returns the capacity of the fleet at a mix, in requests per second.
func fleetRate(long float64, r standin.Rates) float64 {
	p, d := engineSeconds(long, r)
	return engineCount / (p + d)
}

// prefillEngineCount returns the number of prefill engines that suits a mix.
func prefillEngineCount(long float64, r standin.Rates) int {
	p, d := engineSeconds(long, r)
	n := int(p/(p+d)*engineCount + 0.5)
	return min(max(n, 1), engineCount-1)
}

// generate draws the arrivals of a trace from a Poisson process per segment.
func generate(s Spec, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 4))
	var out []Arrival
	var at, start time.Duration
	for _, seg := range s.Segments {
		perSecond := fleetRate(seg.LongShare, standin.DefaultRates()) * seg.Load
		at = start
		for {
			at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			if at >= start+seg.Duration {
				break
			}
			out = append(out, drawArrival(rng, at, seg, s.Flood))
		}
		start += seg.Duration
	}
	return out
}

// drawArrival draws one request of a segment.
func drawArrival(rng *rand.Rand, at time.Duration, seg Segment, flood float64) Arrival {
	a := Arrival{At: at, Tenant: rng.IntN(tenantCount), Region: rng.IntN(regionCount)}
	if flood > 0 && rng.Float64() < flood/(flood+1) {
		a.Tenant = 0
	}
	a.AnswerTokens = shortAnswer/2 + rng.IntN(shortAnswer)
	a.PromptTokens = ident.Tokens(shortPrompt/2 + rng.IntN(shortPrompt))
	if rng.Float64() >= seg.LongShare {
		return a
	}
	a.Class = Long
	a.PromptTokens = ident.Tokens(longMin + rng.IntN(longMax-longMin))
	a.AnswerTokens = longAnswer/2 + rng.IntN(longAnswer)
	doc := uint64(rng.IntN(documentCount))
	blocks := int(a.PromptTokens / router.BlockTokens)
	shared := blocks / 2 // the first half is a shared prefix, the rest is unique
	for i := range blocks {
		h := doc<<32 | uint64(i)
		if i >= shared {
			h = rng.Uint64()
		}
		a.Blocks = append(a.Blocks, h)
	}
	return a
}

// steady returns two minutes at a constant load, with a tenth of long requests.
func steady(load float64) []Segment {
	return []Segment{{Duration: 2 * time.Minute, LongShare: 0.1, Load: load}}
}

// swinging returns segments of 45 s in which the share of long requests is 0.1, or 0.1 multiplied
// or divided by 1.5 or 3, so that the prefill work rises and falls within two minutes.
func swinging(load float64) []Segment {
	var out []Segment
	for _, long := range []float64{0.1, 0.3, 0.033, 0.15, 0.067, 0.3, 0.033, 0.1} {
		out = append(out, Segment{Duration: 45 * time.Second, LongShare: long, Load: load})
	}
	return out
}

// Specs returns the traces that the policies are compared on.
func Specs() []Spec {
	return []Spec{
		{Name: "steady 0.5", Segments: steady(0.5)},
		{Name: "steady 0.9", Segments: steady(0.9)},
		{Name: "steady 1.0", Segments: steady(1.0)},
		{Name: "steady 1.1", Segments: steady(1.1)},
		{Name: "steady 2.0", Segments: steady(2.0)},
		{Name: "swinging", Segments: swinging(0.9)},
		{Name: "long fills", Segments: []Segment{{Duration: 2 * time.Minute, LongShare: 0.5, Load: 1.0}}},
		{Name: "flood", Segments: steady(1.3), Flood: 3},
		{Name: "crash", Segments: steady(0.7), CrashAt: 40 * time.Second},
		{Name: "withdraw", Segments: steady(0.7), DrainAt: 40 * time.Second},
		{Name: "late reports", Segments: steady(0.8), ReportLag: 5 * time.Second},
		{Name: "lost events", Segments: steady(0.8), CacheEventLoss: 0.3},
	}
}
