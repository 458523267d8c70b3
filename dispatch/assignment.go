package dispatch

import (
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/permit"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/router"
)

// suspectTime is how long a target is avoided after it failed a request. A target that crashed has
// stopped announcing itself by then, or has restarted and announces itself again.
const suspectTime = 1500 * time.Millisecond

// Assignment is one request at the target chosen for it. The pool and the router count the request
// at the target from Choose or Assign until Finish or Withdraw. Its owner calls the other methods
// to report how the request goes; if a placer chose the target, they notify the placer as well.
type Assignment struct {
	Choice      router.Choice
	Address     string
	Source      string // address of a target to fetch KV cache from; empty if there is none
	Region      ident.RegionID
	Version     string // version of the target's model
	Software    ident.SoftwareVersion
	PrefillOnly bool // the target only processes the prompt

	pool          *TargetPool
	req           router.Request
	incarnation   ident.Incarnation // of the target
	sentAt        clock.Time        // when the target was chosen
	standing      admit.Standing    // of the request, by the placer
	limited       bool              // the target had named a rate limit by then
	permit        permit.Permit     // taken by this instance; empty if none was needed
	gotFirstToken bool
	placer        ident.InstanceID // placer that chose the target; empty if this instance did
	notify        func(peer.Note)  // reports progress to that placer; nil if there is none
	left          sync.Once        // the request has left the target
}

// Choose picks a target and counts the request there. It returns fault.NoTarget if no target is
// usable, and fault.TargetLimited if all that are have a rate limit and there is no permit.
func (pool *TargetPool) Choose(now clock.Time, req router.Request) (*Assignment, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c, ok := pool.pick(now, req)
	pool.noteDemand(now, req.Service, !ok)
	if !ok {
		return nil, pool.unavailable(now, req)
	}
	taken, ok := pool.takePermit(now, c.ID)
	if !ok {
		return nil, pool.unavailable(now, req)
	}
	return pool.assign(now, req, c, taken), nil
}

// assign counts the request at the chosen target. pool.mu is held.
func (pool *TargetPool) assign(now clock.Time, req router.Request, c router.Choice, taken permit.Permit) *Assignment {
	r, _ := pool.table.Get(c.ID)
	c = pool.router.Sent(now, c, req)
	pool.running[c.ID]++
	a := &Assignment{Choice: c, Address: r.Address, Region: r.Region, Software: r.Software, pool: pool, req: req, incarnation: r.Incarnation, sentAt: now, limited: pool.access(now, c.ID) != router.Unlimited, permit: taken}
	if source, ok := pool.table.Get(c.Source); ok {
		a.Source = source.Address
	}
	if r.Engine != nil {
		a.Version = r.Engine.Version
		a.PrefillOnly = req.Stage == router.StagePrefill && r.Engine.Role == rolePrefill
	}
	return a
}

// notifyPlacer reports an event to the placer that chose the target, if one did.
func (a *Assignment) notifyPlacer(e peer.NoteEvent) {
	if a.notify != nil {
		a.notify(peer.Note{Event: e})
	}
}

// FirstToken records that the first token arrived. Only the first call has an effect.
func (a *Assignment) FirstToken() {
	if a.gotFirstToken {
		return
	}
	a.gotFirstToken = true
	a.notifyPlacer(peer.NoteFirstToken)
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	pool.router.FirstToken(now, a.Choice, a.req)
	if len(a.req.Blocks) == 0 {
		return
	}
	pool.router.RecordCached(now, a.Choice.ID, a.req.Blocks)
	if a.notify == nil && a.shouldShareUse(now) && len(pool.placements) < maxSharedPlacements && len(a.req.Parts) > 0 {
		pool.placements = append(pool.placements, peer.Placement{Target: a.Choice.ID, Parts: a.req.Parts})
	}
}

// promptUseRefresh is the age of the last recorded use of a prompt at which the use is shared
// again. It lets all instances estimate which prompts an engine used lately and still caches. An
// instance that shares a use first saves the others from sharing it too.
const promptUseRefresh = 3 * time.Second

// shouldShareUse reports whether to inform other instances that the target has the prompt.
func (a *Assignment) shouldShareUse(now clock.Time) bool {
	return !a.Choice.PrefixCached || a.Choice.LastUsed > 0 && now.Sub(a.Choice.LastUsed) > promptUseRefresh
}

// ReportLoad records the load that the target reported with its answer.
func (a *Assignment) ReportLoad(load router.Report) {
	if a.notify != nil {
		a.notify(peer.Note{Event: peer.NoteLoad, Running: load.Running, Slots: load.Slots, Pace: load.Pace})
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pool.router.Report(a.pool.now(), a.Choice.ID, load)
}

// ReportAnswer records whether the target answered or failed the request.
func (a *Assignment) ReportAnswer(failed bool) {
	a.notifyPlacer(noteFor(failed, peer.NoteFailed, peer.NoteAnswered))
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.router.Answered(pool.now(), a.Choice, failed)
}

// ReportPause records that the target's answer ended, and whether its longest pause between events
// exceeded the objective.
func (a *Assignment) ReportPause(late bool) {
	a.notifyPlacer(noteFor(late, peer.NoteITLMissed, peer.NoteITLMet))
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.router.RecordPause(a.req.Service, a.Choice, late)
}

// noteFor returns yes if the condition holds and no otherwise.
func noteFor(holds bool, yes, no peer.NoteEvent) peer.NoteEvent {
	if holds {
		return yes
	}
	return no
}

// MarkUnreachable records that the target refuses connections or that another target now has its
// address. The target is avoided for suspectTime, also by the placer.
func (a *Assignment) MarkUnreachable() {
	a.notifyPlacer(peer.NoteUnreachable)
	a.MarkFailed()
}

// MarkFailed records that the target gave no complete answer. Only this instance avoids it for
// suspectTime: if it fails other instances as well, their reported answers show that.
func (a *Assignment) MarkFailed() {
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	pool.suspect(now, now.Add(suspectTime), a.Choice.ID)
	for id, until := range pool.suspects {
		if !now.Before(until) {
			delete(pool.suspects, id)
		}
	}
}

// Finish records that the request has left the target. Only the first call has an effect.
func (a *Assignment) Finish() { a.left.Do(a.finish) }

func (a *Assignment) finish() {
	a.notifyPlacer(peer.NoteEnded)
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.router.Ended(pool.now(), a.Choice, a.req, a.gotFirstToken)
	a.release()
}

// Withdraw records that the request was never sent to the target.
func (a *Assignment) Withdraw() {
	a.notifyPlacer(peer.NoteWithdrawn)
	pool := a.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	pool.router.Withdrawn(now, a.Choice, a.req)
	pool.returnPermit(now, a.permit)
	a.release()
}

// release removes the request from this instance's requests at the target. pool.mu is held.
func (a *Assignment) release() {
	pool := a.pool
	pool.running[a.Choice.ID]--
	if pool.running[a.Choice.ID] <= 0 {
		delete(pool.running, a.Choice.ID)
	}
}
