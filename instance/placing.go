package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/placer"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/platform"
	"github.com/hickoryridge/hickoryridge/settings"
)

const (
	// placeTimeout bounds the wait for a placer's reply: a few round trips within a region.
	placeTimeout = 30 * time.Millisecond
	// maxPlacerAttempts bounds the number of placers that are tried for one request.
	maxPlacerAttempts = 2
	// placerInUseFor is the time after a placer's reply for which this instance relies on placers
	// and does not report its own load to the leader.
	placerInUseFor = 2 * time.Second
	locateInterval = 500 * time.Millisecond
	locateTimeout  = 400 * time.Millisecond
	// noteBatchDelay is the longest time for which a note to a placer waits to be batched with
	// others.
	noteBatchDelay = 3 * time.Millisecond
	noteQueueSize  = 1024
)

// placerClient requests targets from the placers of this instance's region. It is safe for
// concurrent use.
type placerClient struct {
	voters    func() []ident.InstanceID
	net       *peer.Network
	log       *logrus.Entry
	notes     *queue.Queue[addressedNote]
	lastReply atomic.Int64 // time of the last reply of a placer, as clock.Time
	replied   func()       // called when another placer than before has replied; nil if nobody asks

	mu      sync.Mutex
	picker  *placer.Picker
	current ident.InstanceID // the placer that replied last, for the log
}

// addressedNote is a note with the placer that receives it.
type addressedNote struct {
	to   ident.InstanceID
	note peer.Note
}

var _ dispatch.PlacementClient = (*placerClient)(nil)

func newPlacerClient(region ident.RegionID, voters func() []ident.InstanceID, net *peer.Network, log *logrus.Entry) *placerClient {
	return &placerClient{
		voters: voters, net: net, log: log, picker: placer.NewPicker(region),
		notes: queue.New[addressedNote]("notes to placers", noteQueueSize),
	}
}

// Place requests a target from the region's placers in turn. See dispatch.PlacementClient.
func (p *placerClient) Place(ctx context.Context, req *peer.Place) (*peer.Placed, ident.InstanceID, error) {
	err := fault.New(fault.NoTarget, "no placer has been found in this region")
	for range maxPlacerAttempts {
		p.mu.Lock()
		to := p.picker.Pick(clock.Now(), p.voters(), req.Service)
		p.mu.Unlock()
		if to == "" {
			return nil, "", err
		}
		var placed *peer.Placed
		if placed, err = p.requestFrom(ctx, to, req); err == nil {
			p.recordReply(to)
			return placed, to, nil
		}
		if ctx.Err() != nil {
			return nil, "", err
		}
		p.recordFailure(to, err)
	}
	return nil, "", err
}

func (p *placerClient) requestFrom(ctx context.Context, to ident.InstanceID, req *peer.Place) (*peer.Placed, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return replyAs[*peer.Placed](p.net.Call(ctx, to, req))
}

func (p *placerClient) recordReply(by ident.InstanceID) {
	p.lastReply.Store(int64(clock.Now()))
	p.mu.Lock()
	changed := p.current != by
	p.current = by
	p.mu.Unlock()
	if changed {
		if p.replied != nil {
			p.replied()
		}
		p.log.WithFields(logrus.Fields{"event": "placer_used", "placer": by}).Info("a placer selects targets for this instance")
	}
}

// recordFailure skips a placer that did not reply in time or replied with an error.
func (p *placerClient) recordFailure(id ident.InstanceID, cause error) {
	p.mu.Lock()
	p.picker.MarkUnresponsive(clock.Now(), id)
	changed := p.current == id
	if changed {
		p.current = ""
	}
	p.mu.Unlock()
	if changed {
		p.log.WithFields(logrus.Fields{"event": "placer_passed_over", "placer": id, "cause": cause}).Info("placer did not reply in time or returned an error; it is skipped temporarily")
	}
}

// inRegion reports whether a voter is known to be in this instance's region.
func (p *placerClient) inRegion(voter ident.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.InRegion(voter)
}

// inUse reports whether a placer has recently selected targets for this instance.
func (p *placerClient) inUse(now clock.Time) bool {
	last := clock.Time(p.lastReply.Load())
	return last > 0 && now.Sub(last) < placerInUseFor
}

// Notify queues a note to a placer. See dispatch.PlacementClient.
func (p *placerClient) Notify(to ident.InstanceID, n peer.Note) {
	// A note is dropped if the queue is full. The placer then keeps the placement until it expires.
	_ = p.notes.Push(addressedNote{to, n})
}

// sendNotes is the background task that sends notes to placers in batches.
func (p *placerClient) sendNotes(ctx context.Context) error {
	for {
		var first addressedNote
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first = <-p.notes.C():
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(noteBatchDelay):
		}
		byPlacer := map[ident.InstanceID][]peer.Note{first.to: {first.note}}
		p.notes.Drain(noteQueueSize, func(a addressedNote) { byPlacer[a.to] = append(byPlacer[a.to], a.note) })
		for to, notes := range byPlacer {
			p.net.Send(to, &peer.Progress{Notes: notes})
		}
	}
}

// locateVoters is the background task that requests the region of each voter until it is recorded.
func (p *placerClient) locateVoters(ctx context.Context) error {
	return task.Every(ctx, locateInterval, func(ctx context.Context) {
		p.mu.Lock()
		unknown := p.picker.UnknownRegion(p.voters())
		p.mu.Unlock()
		for _, id := range unknown {
			p.locateVoter(ctx, id)
		}
	})
}

func (p *placerClient) locateVoter(ctx context.Context, id ident.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	reply, err := p.net.Call(ctx, id, &peer.Locate{})
	if err != nil {
		return // retried at the next tick
	}
	if at, ok := reply.(*peer.Located); ok {
		p.mu.Lock()
		p.picker.SetRegion(id, at.Region)
		p.mu.Unlock()
	}
}

// runPlacer is the background task of a placer: it expires old placements and follows the newest
// view of the replica.
func (in *Instance) runPlacer(ctx context.Context) error {
	return task.Every(ctx, placerSweepInterval, func(context.Context) {
		in.placer.ExpirePlacements(clock.Now())
		if err := in.gate.ApplyView(in.voter.machine.View()); err != nil {
			in.log.WithFields(logrus.Fields{"event": "view_not_followed", "cause": err}).Warn("the newest view cannot be read; the placer keeps the previous one")
		}
	})
}

// orderClient returns the client that sends orders to engines in the configured protocol.
func (in *Instance) orderClient() leader.EngineClient {
	if in.settings.Protocol == settings.ProtocolPlatform {
		return &platform.OrderClient{Client: in.directClient, Holder: in.settings.Instance}
	}
	return engine.OrderClient{Client: in.engines}
}

// reportWork is the background task that reports to the leader how much engine work the requests
// took that this instance placed.
func (in *Instance) reportWork(ctx context.Context) error {
	return task.Every(ctx, workReportInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		work := in.targetPool.TakeWork(clock.Now())
		if _, err := in.leader.request(ctx, &peer.Works{Instance: in.settings.Instance, Services: work}); err != nil {
			in.log.WithFields(logrus.Fields{"event": "works_not_told", "cause": err}).Debug("engine work not reported to the leader; later reports do not repeat its prefill work")
		}
	})
}

// workReportInterval is the interval at which a placer reports engine work to the leader.
const workReportInterval = 500 * time.Millisecond

// placerSweepInterval is the interval at which a placer reads its replica's view and removes
// expired placements.
const placerSweepInterval = 200 * time.Millisecond
