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
	// placeTime bounds the wait for a placer's answer: some trips within a region.
	placeTime = 30 * time.Millisecond
	// placeTries bounds the placers that are asked for one choice.
	placeTries = 2
	// placedLately is the time after a placer's answer for which this instance relies on placers, and does not tell the
	// leader of its own load.
	placedLately = 2 * time.Second
	locateEvery  = 500 * time.Millisecond
	locateTime   = 400 * time.Millisecond
	// noteEvery is the longest time for which a note to a placer waits for others.
	noteEvery = 3 * time.Millisecond
	noteRing  = 1024
)

// placing asks the placer of this instance's region. It is safe for concurrent use.
type placing struct {
	voters func() []ident.InstanceID
	net    *peer.Network
	log    *logrus.Entry
	notes  *queue.Queue[addressed]
	last   atomic.Int64 // when a placer last answered, as clock.Time

	mu     sync.Mutex
	picker *placer.Picker
	using  ident.InstanceID // the placer that answered last, for the log
}

// addressed is a note to a placer.
type addressed struct {
	to   ident.InstanceID
	note peer.Note
}

var _ dispatch.PlacementClient = (*placing)(nil)

func newPlacing(region ident.RegionID, voters func() []ident.InstanceID, net *peer.Network, log *logrus.Entry) *placing {
	return &placing{
		voters: voters, net: net, log: log, picker: placer.NewPicker(region),
		notes: queue.New[addressed]("notes to placers", noteRing),
	}
}

// Place asks placers of the region in turn. See dispatch.Placing.
func (p *placing) Place(ctx context.Context, ask *peer.Place) (*peer.Placed, ident.InstanceID, error) {
	err := fault.New(fault.NoTarget, "no placer is known in this region")
	for range placeTries {
		p.mu.Lock()
		to := p.picker.Pick(clock.Now(), p.voters(), ask.Service)
		p.mu.Unlock()
		if to == "" {
			return nil, "", err
		}
		var placed *peer.Placed
		if placed, err = p.ask(ctx, to, ask); err == nil {
			p.answered(to)
			return placed, to, nil
		}
		if ctx.Err() != nil {
			return nil, "", err
		}
		p.silent(to, err)
	}
	return nil, "", err
}

func (p *placing) ask(ctx context.Context, to ident.InstanceID, ask *peer.Place) (*peer.Placed, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTime)
	defer cancel()
	reply, err := p.net.Call(ctx, to, ask)
	if err != nil {
		return nil, err
	}
	placed, ok := reply.(*peer.Placed)
	if !ok {
		return nil, fault.New(fault.Internal, "unexpected reply %T", reply)
	}
	return placed, nil
}

func (p *placing) answered(by ident.InstanceID) {
	p.last.Store(int64(clock.Now()))
	p.mu.Lock()
	changed := p.using != by
	p.using = by
	p.mu.Unlock()
	if changed {
		p.log.WithFields(logrus.Fields{"event": "placer_used", "placer": by}).Info("a placer chooses engines for this instance")
	}
}

func (p *placing) silent(id ident.InstanceID, cause error) {
	p.mu.Lock()
	p.picker.MarkUnresponsive(clock.Now(), id)
	changed := p.using == id
	if changed {
		p.using = ""
	}
	p.mu.Unlock()
	if changed {
		p.log.WithFields(logrus.Fields{"event": "placer_passed_over", "placer": id, "cause": cause}).Info("the placer did not answer at once")
	}
}

// relied reports whether a placer chose for this instance lately.
func (p *placing) relied(now clock.Time) bool {
	last := clock.Time(p.last.Load())
	return last > 0 && now.Sub(last) < placedLately
}

// Notify queues a note to a placer. See dispatch.Placing.
func (p *placing) Notify(by ident.InstanceID, n peer.Note) {
	_ = p.notes.Push(addressed{by, n}) // one that is lost lapses at the placer with its request's time
}

// send is the duty that sends notes, several at a time.
func (p *placing) send(ctx context.Context) error {
	for {
		var first addressed
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first = <-p.notes.C():
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(noteEvery):
		}
		byPlacer := map[ident.InstanceID][]peer.Note{first.to: {first.note}}
		p.notes.Drain(noteRing, func(a addressed) { byPlacer[a.to] = append(byPlacer[a.to], a.note) })
		for to, notes := range byPlacer {
			p.net.Send(to, &peer.Progress{Notes: notes})
		}
	}
}

// locate is the duty that asks voters for their regions.
func (p *placing) locate(ctx context.Context) error {
	return task.Every(ctx, locateEvery, func(ctx context.Context) {
		p.mu.Lock()
		unknown := p.picker.UnknownRegion(p.voters())
		p.mu.Unlock()
		for _, id := range unknown {
			p.locateOne(ctx, id)
		}
	})
}

func (p *placing) locateOne(ctx context.Context, id ident.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, locateTime)
	defer cancel()
	reply, err := p.net.Call(ctx, id, &peer.Locate{})
	if err != nil {
		return // asked again at the next tick
	}
	if at, ok := reply.(*peer.Located); ok {
		p.mu.Lock()
		p.picker.SetRegion(id, at.Region)
		p.mu.Unlock()
	}
}

// placeTargets is the duty of a voter that keeps what it needs to place for others.
func (in *Instance) placeTargets(ctx context.Context) error {
	return task.Every(ctx, placeSweep, func(context.Context) {
		in.placer.ExpirePlacements(clock.Now())
		if err := in.gate.ApplyView(in.voter.machine.View()); err != nil {
			in.log.WithFields(logrus.Fields{"event": "view_not_followed", "cause": err}).Warn("the newest view cannot be read")
		}
	})
}

// orders returns who carries orders to engines.
func (in *Instance) orders() leader.EngineClient {
	if in.settings.Protocol == settings.ProtocolPlatform {
		return &platform.OrderClient{Client: in.targets, Holder: in.settings.Instance}
	}
	return engine.OrderClient{Client: in.engines}
}

// tellWorks is the duty that tells the leader what the requests that this instance placed took of the engines.
func (in *Instance) tellWorks(ctx context.Context) error {
	return task.Every(ctx, worksEvery, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, shareTime)
		defer cancel()
		works := in.fleet.TakeWork(clock.Now())
		if _, err := in.leader.ask(ctx, &peer.Works{Instance: in.settings.Instance, Services: works}); err != nil {
			in.log.WithFields(logrus.Fields{"event": "works_not_told", "cause": err}).Debug("the leader was not told of the engines' work")
		}
	})
}

// worksEvery is the interval at which a placer tells of the engines' work.
const worksEvery = 500 * time.Millisecond

// placeSweep is the interval at which a placer looks at its replica's view and at placements whose time has passed.
const placeSweep = 200 * time.Millisecond
