package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// transfers replays KV cache on its way from prefill to decode engines. An engine's link carries
// one transfer at a time, ten times more slowly between regions.
type transfers struct {
	rng   *rand.Rand
	r     *Router
	links map[string]clock.Time // when a link is free
}

const (
	transferRegions = 3
	transferRate    = 40    // a second
	transferTokens  = 17000 // on average
	transferMove    = 400 * time.Microsecond
	transferSlower  = 10
	transferQueue   = 100 * time.Millisecond // wait at a decode engine, on average
)

func newTransfers(seed uint64) *transfers {
	r := New(Config{Region: "r0", Links: DefaultLinks(), Seed: seed, TransferTime: transferMove, SharedQueues: true, NoReservedEngine: true})
	for i := range 2 * transferRegions {
		id := ident.TargetID(fmt.Sprint("d", i))
		r.Put(Target{ID: id, Service: "s", Region: regionOf(i % transferRegions), Role: desired.RoleDecode})
		r.Report(now, id, Report{Slots: 48, PrefillRate: 26000})
	}
	return &transfers{rng: rand.New(rand.NewPCG(seed, 6)), r: r, links: map[string]clock.Time{}}
}

// run plays a minute and returns the mean time from the end of a prompt to its first token.
// The choice is the router's, or the soonest engine of the prompt's region.
func (tr *transfers) run(choose bool) time.Duration {
	at := now
	var sum time.Duration
	n := 0
	for at.Before(now.Add(time.Minute)) {
		at = at.Add(time.Duration(tr.rng.ExpFloat64() * float64(time.Second) / transferRate))
		waits := tr.load()
		from := tr.rng.IntN(transferRegions)
		tokens := ident.Tokens(transferTokens * (0.3 + 0.7*tr.rng.ExpFloat64()))
		to := from
		if waits[from+transferRegions] < waits[from] {
			to = from + transferRegions
		}
		if choose {
			c, _ := tr.r.Choose(Request{Service: "s", Stage: StageDecode, Prompt: tokens, KVRegion: regionOf(from)})
			_, _ = fmt.Sscanf(string(c.ID), "d%d", &to) // the names are made above
		}
		sum += tr.carry(at, from, to, tokens) + waits[to]
		n++
	}
	return sum / time.Duration(n)
}

// load gives each engine a queue, which the router is told.
func (tr *transfers) load() []time.Duration {
	waits := make([]time.Duration, 2*transferRegions)
	for i := range waits {
		waits[i] = time.Duration(tr.rng.ExpFloat64() * float64(transferQueue))
		tr.r.SetQueued(now, ident.TargetID(fmt.Sprint("d", i)), ident.Tokens(waits[i].Seconds()*26000), 0)
	}
	return waits
}

// carry returns the time of a transfer from a region's prefill engine to a decode engine.
func (tr *transfers) carry(at clock.Time, from, to int, tokens ident.Tokens) time.Duration {
	took := time.Duration(tokens) * transferMove / 1000
	if to%transferRegions != from {
		took *= transferSlower
	}
	source, sink := fmt.Sprint("p", from), fmt.Sprint("d", to)
	ends := max(at, tr.links[source], tr.links[sink]).Add(took)
	tr.links[source], tr.links[sink] = ends, ends
	return ends.Sub(at)
}

// TestTransfersDoNotQueue replays the KV cache of long prompts. Where each takes an engine's link for
// its own time alone to be the price of another region, links between regions fill up.
func TestTransfersDoNotQueue(t *testing.T) {
	var got, near time.Duration
	for seed := range uint64(5) {
		got += newTransfers(seed).run(true) / 5
		near += newTransfers(seed).run(false) / 5
	}
	t.Logf("first tokens after %v, %v within the region", got, near)
	if got > near+near/100 { // equal choices differ by nanoseconds
		t.Errorf("first tokens come after %v, later than the %v with transfers within the region alone", got, near)
	}
}
