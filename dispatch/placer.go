package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

// Load pattern: hundreds of instances choose among as many engines, each of which runs a few
// requests at a time. An instance's record of the other instances' requests is up to half a second
// old, and by then they have chosen again. Engines are then full or idle by chance, and shared
// prompts are processed at arbitrary engines.
//
// Therefore one instance per region, the placer, chooses for all instances there. It records its
// choices and receives reports of their progress, so its record of the load on the region's engines
// is current. Its choice is advisory: the requesting instance checks that the target may receive
// work, and chooses on its own if no placer replies in time. Two placers at a time, or one that has
// just started, choose slightly worse targets but cause no errors.

// Placer chooses targets on behalf of other instances. It is safe for concurrent use.
type Placer struct {
	pool *TargetPool

	mu         sync.Mutex
	lastTicket peer.Ticket
	placements map[peer.Ticket]openPlacement
	contest    admit.Contest
}

// openPlacement is a placement whose end has not been reported.
type openPlacement struct {
	assigned *Assignment
	expires  clock.Time // when it stops counting, even if no end was reported
}

const (
	// placementSlack extends the time for which a placement counts beyond the request's own
	// deadline. After that, the placer drops a placement whose end was never reported.
	placementSlack = 500 * time.Millisecond
	// minKnownFraction is the least number of engines that a placer must have recorded, as a fraction of
	// the usable ones that the requester has. A placer that has just started, or is cut off, would otherwise
	// send all requests to the few engines that it has received announcements from.
	minKnownFraction = 0.8
	// minRetryAfter is the shortest retry delay given with a refusal.
	minRetryAfter = 300 * time.Millisecond
	// queueWaitDivisor divides the objective for the first token. Every request may wait in a queue
	// for at least the resulting time.
	queueWaitDivisor = 2
	// ticketBits is the number of low bits that count the placements of one run. The bits above
	// them are random and distinguish runs.
	ticketBits = 32
)

// NewPlacer returns a placer that chooses among the targets of pool.
func NewPlacer(pool *TargetPool) *Placer {
	return &Placer{pool: pool, lastTicket: peer.Ticket(rand.Uint32()) << ticketBits, placements: map[peer.Ticket]openPlacement{}}
}

// Place chooses a target. If the first token would come too late for the request's objective, the
// result names no target but a time after which to retry. A request that takes part in the contest for engines is
// deferred instead, and refused only if its answer would come too late for the caller. Errors: fault.NoTarget if no target is
// usable or the placer has recorded too few engines, fault.BadRequest if the request is invalid.
func (p *Placer) Place(now clock.Time, request *peer.Place) (*peer.Placed, error) {
	entry := request.Entry
	if !request.Stage.Valid() || request.Prompt < 0 || request.Remaining < 0 || entry != nil && entry.Elapsed < 0 {
		return nil, fault.New(fault.BadRequest, "invalid placement request: stage %d, prompt of %d tokens, %v remaining", request.Stage, request.Prompt, request.Remaining)
	}
	if err := p.checkKnown(now, request); err != nil {
		return nil, err
	}
	req := router.Request{
		Service: request.Service, Version: request.Version, Stage: request.Stage, Prompt: request.Prompt,
		Blocks: router.PartBlockHashes(nil, request.Parts), Parts: request.Parts, Avoid: request.Avoid, KVRegion: request.CacheRegion, Urgency: request.Urgency, Software: request.Software,
		Deferred: entry != nil && entry.Deferred,
	}
	standing := admit.Regular
	if request.TTFTObjective > 0 {
		var refused *peer.Placed
		if standing, refused = p.decide(now, request, &req); refused != nil {
			return refused, nil
		}
	}
	a, err := p.pool.Choose(now, req)
	if fault.Is(err, fault.TargetLimited) {
		return &peer.Placed{Limited: true, RetryAfter: fault.ResponseOf(err).RetryAfter}, nil
	}
	if err != nil {
		return nil, err
	}
	c := &a.Choice
	return &peer.Placed{
		Ticket: p.record(now, request, a), Target: c.ID, CacheSource: c.Source, Cached: c.Cached, ExpectedTTFT: c.TTFT, QueueWait: c.Wait,
		Permitted: a.limited, Standing: standing,
	}, nil
}

// record records a placement until its end is reported or expected, and returns its ticket.
func (p *Placer) record(now clock.Time, request *peer.Place, a *Assignment) peer.Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTicket++
	p.placements[p.lastTicket] = openPlacement{a, now.Add(request.Remaining + placementSlack)}
	if request.Entry != nil {
		p.contest.Placed(now, request.Entry.Workspace, expectation(a.Choice).Processing)
	}
	return p.lastTicket
}

// checkKnown returns an error if the placer has recorded too few engines. Engines on record that are not usable count: they
// leave, have failed, or change, which the requester's records may not show yet.
func (p *Placer) checkKnown(now clock.Time, request *peer.Place) error {
	enough := minKnownFraction * float64(request.KnownEngines)
	if float64(p.pool.EngineCount(now, request.Service)) >= enough {
		return nil
	}
	known := p.pool.RecordedEngines(now, request.Service)
	if float64(known) >= enough {
		return nil
	}
	return fault.New(fault.NoTarget, "placer has recorded %d engines, too few compared with %d usable ones at the requester", known, request.KnownEngines)
}

// decide decides whether a request that asks for its first target is refused, for which it returns the reply, and
// whether it is deferred, which it sets in req.
func (p *Placer) decide(now clock.Time, request *peer.Place, req *router.Request) (admit.Standing, *peer.Placed) {
	c, ok := p.pool.Preview(now, *req)
	if !ok {
		return admit.Regular, nil // Choose returns the error
	}
	if request.Entry == nil {
		if c.Wait > maxQueueWait(c.TTFT-c.Wait, request.TTFTObjective) {
			return admit.Regular, &peer.Placed{ExpectedTTFT: c.TTFT, RetryAfter: max(c.Wait, minRetryAfter)}
		}
		return admit.Regular, nil
	}
	r := contender(request)
	p.mu.Lock()
	standing := p.contest.Standing(now, r, expectation(c))
	p.mu.Unlock()
	if standing != admit.Regular {
		req.Deferred = true
		if c, ok = p.pool.Preview(now, *req); !ok {
			return standing, nil
		}
	}
	if retryAfter, refused := r.Refusal(expectation(c)); refused {
		return standing, &peer.Placed{ExpectedTTFT: c.TTFT, RetryAfter: max(retryAfter, minRetryAfter), Standing: standing}
	}
	return standing, nil
}

// contender returns a request as the contest for engines sees it.
func contender(request *peer.Place) admit.Contender {
	return admit.Contender{Workspace: request.Entry.Workspace, Objective: request.TTFTObjective - request.Entry.Elapsed, Remaining: request.Remaining}
}

// expectation returns what a request may expect at a target.
func expectation(c router.Choice) admit.Expectation {
	return admit.Expectation{Wait: c.Wait, Processing: c.TTFT - c.Wait}
}

// maxQueueWait returns how long a request may wait in a queue if its own prompt takes the time
// processing. That is the rest of its objective for the first token, but at least a fixed fraction
// of the objective, so that the longest prompts are served as well.
func maxQueueWait(processing, objective time.Duration) time.Duration {
	return max(objective-processing, objective/queueWaitDivisor)
}

// Notify applies reports on the progress of placements. It ignores those of another run and those
// of placements that have ended. It returns the rate limits that changed by them.
func (p *Placer) Notify(notes []peer.Note) []permit.ChangedLimit {
	var changed []permit.ChangedLimit
	for _, n := range notes {
		p.mu.Lock()
		placed, ok := p.placements[n.Ticket]
		if n.Event == peer.NoteEnded || n.Event == peer.NoteWithdrawn {
			delete(p.placements, n.Ticket)
		}
		p.mu.Unlock()
		if !ok {
			continue
		}
		if c := placed.assigned.applyNote(n); c.Change != permit.Unchanged {
			changed = append(changed, c)
		}
	}
	return changed
}

// ExpirePlacements ends the placements that have reached their time limit.
func (p *Placer) ExpirePlacements(now clock.Time) {
	var expired []*Assignment
	p.mu.Lock()
	for ticket, placed := range p.placements {
		if now.After(placed.expires) {
			delete(p.placements, ticket)
			expired = append(expired, placed.assigned)
		}
	}
	p.mu.Unlock()
	for _, a := range expired {
		a.Finish()
	}
}

// applyNote applies another instance's report on the placement. It returns the change of the target's
// rate limit, if any.
func (a *Assignment) applyNote(n peer.Note) (changed permit.ChangedLimit) {
	switch n.Event {
	case peer.NoteFirstToken:
		a.FirstToken()
	case peer.NoteEnded:
		a.Finish()
	case peer.NoteWithdrawn:
		a.Withdraw()
	case peer.NoteAnswered:
		a.ReportAnswer(false)
	case peer.NoteFailed:
		a.ReportAnswer(true)
	case peer.NoteUnreachable:
		a.MarkUnreachable()
	case peer.NoteLoad:
		a.ReportLoad(router.Report{Running: n.Running, Slots: n.Slots, Pace: max(0, n.Pace)})
	case peer.NoteITLMissed:
		a.ReportPause(true)
	case peer.NoteITLMet:
		a.ReportPause(false)
	case peer.NoteLimited:
		if n.Rate != nil && *n.Rate >= 0 {
			changed = a.ReportLimit(permit.Named{Rate: *n.Rate})
		}
	case peer.NoteUnlimited:
		changed = a.ReportLimit(permit.NotNamed{})
	case peer.NoteLeaving:
		a.ReportLeaving()
	}
	return changed
}
