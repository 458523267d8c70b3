// Package instance puts the parts of one instance together: connections to the
// other instances, the replica of the log if it is a voter, the lease on the
// configuration, the fleet of targets, and the listeners for callers and for
// operators, targets and the platform.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/admit"
	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/internal/net/cert"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/leader"
	"github.com/hickoryridge/hickoryridge/metrics"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/plain"
	"github.com/hickoryridge/hickoryridge/platform"
	"github.com/hickoryridge/hickoryridge/receipt"
	"github.com/hickoryridge/hickoryridge/router"
	"github.com/hickoryridge/hickoryridge/settings"
	"github.com/hickoryridge/hickoryridge/state"
	"github.com/hickoryridge/hickoryridge/target"
)

const (
	// handleTime bounds the answer to another instance's question.
	handleTime = 5 * time.Second
	// stopEvery is the interval at which a stopping instance looks for requests in
	// progress.
	stopEvery = 20 * time.Millisecond
	// routeNoise spreads equal choices of several instances.
	routeNoise = 0.1
)

// Instance is one running instance. Use New.
type Instance struct {
	settings   *settings.Settings
	boot       ident.BootID
	log        *logrus.Entry
	peerCert   *cert.Reloader // nil for plain TCP
	callerCert *cert.Reloader // nil for plain TCP
	listeners  listeners
	network    *peer.Network
	roster     *roster
	voter      *voter // nil if the instance keeps no replica
	leader     *leaderClient
	gate       *dispatch.Gate
	fleet      *dispatch.TargetPool
	engines    *engine.Client
	plain      *plain.Client
	targets    *http1.Client // of forwarded requests
	receipts   *receipt.Runner
	dispatcher *dispatch.Dispatcher
	placing    *placing         // asks the region's placer; nil if this instance chooses by itself
	placer     *dispatch.Placer // chooses for others; nil if this instance does not
	metrics    *metrics.Metrics
	stopping   atomic.Bool
	lingers    chan struct{}                     // closed when the instance stops but still takes requests
	reloaded   atomic.Pointer[settings.Settings] // the newest settings
	confirmed  state.Version                     // newest view that the leader knows to be in force here; owned by the lease duty
	holds      bool                              // the configuration lease when it was last looked at; owned by the lease duty
	leased     chan struct{}                     // signals that the configuration lease was gained
	sharing    atomic.Int64                      // instances that hold leases; written by the lease duty
	ready      chan struct{}
}

// listeners are the sockets that an instance accepts on.
type listeners struct {
	callers, control, peer, metrics net.Listener
}

// New opens the listeners and the data folder of an instance. Run runs it.
func New(s *settings.Settings, logger *logrus.Logger) (*Instance, error) {
	boot := ident.BootID(ident.NewRandom())
	in := &Instance{
		settings: s, boot: boot, ready: make(chan struct{}), lingers: make(chan struct{}), leased: make(chan struct{}, 1),
		log:     logger.WithFields(logrus.Fields{"instance": s.Instance}),
		gate:    dispatch.NewGate(),
		engines: engine.NewClient(s.IdleLimit()),
		plain:   plain.NewClient(),
		metrics: metrics.New(),
	}
	in.reloaded.Store(s)
	if err := in.loadTLS(); err != nil {
		return nil, err
	}
	if err := in.listen(); err != nil {
		return nil, err
	}
	in.fleet = dispatch.NewTargetPool(routing(s), in.gate, target.RunID(rand.Uint64()|1))
	in.fleet.SetMaxLease(s.TargetLease())
	in.targets = http1.New(http1.Options{})
	peers := map[ident.InstanceID]string{}
	for _, p := range s.Peers {
		peers[p.Instance] = p.Address
	}
	in.network = peer.NewNetwork(peer.Config{
		Self: peer.Hello{Instance: s.Instance, Boot: boot}, Listen: in.listeners.peer,
		Peers: peers, AcceptUnknown: len(s.Seeds) > 0, TLS: in.peerTLS(), Handler: in.handle, Log: in.log,
	})
	in.roster = &roster{self: s.Instance, network: in.network, voters: s.Voters()}
	in.leader = &leaderClient{self: s.Instance, voters: in.roster.Voters, local: in.handle, call: in.network.Call}
	in.leader.found = func(i seed.Instance) { in.roster.Add([]seed.Instance{i}) }
	in.receipts = receipt.NewRunner(in.leader, in.log)
	if s.Routing.Place && in.listeners.callers != nil {
		in.placing = newPlacing(s.Region, in.roster.Voters, in.network, in.log)
	}
	if s.Routing.Place && s.Voter() {
		in.placer = dispatch.NewPlacer(in.fleet)
	}
	in.dispatcher = dispatch.New(dispatch.Config{
		Instance: s.Instance, Boot: boot, Gate: in.gate, Targets: in.fleet, Engines: in.engines,
		Plain: in.plain, Backend: &platform.Backend{Client: in.targets}, Receipts: in.receipts, Metrics: in.metrics, Log: in.log, MaxRunning: s.RunningLimit(),
		Placement: in.asked(),
		Retries:   admit.RetryLimit{Ratio: s.Retries.Ratio, Window: s.Retries.Window.AsDuration(), Slack: s.Retries.Slack},
	})
	if !s.Voter() {
		return in, nil
	}
	v, err := openVoter(in)
	if err != nil {
		in.listeners.close()
		return nil, err
	}
	in.voter = v
	return in, nil
}

// asked returns who is asked for targets; nil if this instance chooses by itself.
func (in *Instance) asked() dispatch.PlacementClient {
	if in.placing == nil {
		return nil
	}
	return in.placing
}

// routing returns the configuration of the router.
func routing(s *settings.Settings) router.Config {
	links := router.DefaultLinks()
	if s.Routing.CrossRegionCost > 0 {
		links.CrossRegionCost = s.Routing.CrossRegionCost.AsDuration()
	}
	return router.Config{
		Region: s.Region, Domain: s.Domain, Links: links, Seed: uint64(time.Now().UnixNano()), Noise: routeNoise,
		Handover: s.Routing.Handover.AsDuration(), TransferTime: s.Routing.TransferTime.AsDuration(), RecomputeTime: s.Routing.RecomputeCost.AsDuration(), MaxRetention: s.Routing.CacheLifetime.AsDuration(),
		HomeEngines: s.Routing.Homes, KVFetch: s.Routing.Fetch, SharedQueues: s.Routing.Share, NoReservedEngine: s.Routing.Spread, SharedFailures: s.Routing.Failures,
		LearnRates: s.Routing.Learn, DisjointTargets: s.Routing.Place && s.Voter(),
	}
}

func (in *Instance) listen() error {
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{
		{in.settings.Callers, &in.listeners.callers},
		{in.settings.Control, &in.listeners.control},
		{in.settings.Peer, &in.listeners.peer},
		{in.settings.Metrics, &in.listeners.metrics},
	} {
		if l.addr == "" {
			continue // this instance has none
		}
		opened, err := tcp.Listen(l.addr, peer.ConnectionOptions)
		if err != nil {
			in.listeners.close()
			return fault.New(fault.Internal, "listen on %s: %v", l.addr, err)
		}
		*l.into = opened
	}
	return nil
}

func (l listeners) close() {
	for _, open := range []net.Listener{l.callers, l.control, l.peer, l.metrics} {
		if open != nil {
			_ = open.Close() // nothing was accepted yet
		}
	}
}

// CallersAddr returns the address for callers, with the port that was opened.
// It is empty if the instance serves none.
func (in *Instance) CallersAddr() string {
	if in.listeners.callers == nil {
		return ""
	}
	return in.listeners.callers.Addr().String()
}

// seeds returns the control addresses to find voters through.
func (in *Instance) seeds() []string { return in.reloaded.Load().Seeds }

// Reload takes changed settings. Only the seeds change while the instance runs; the
// rest is taken at the next start.
func (in *Instance) Reload(s *settings.Settings) {
	in.reloaded.Store(s)
	in.log.WithFields(logrus.Fields{"event": "settings_reloaded", "seeds": s.Seeds}).Info("settings reloaded")
}

// ControlAddr returns the address for operators and targets.
func (in *Instance) ControlAddr() string { return in.listeners.control.Addr().String() }

// Ready is closed when the instance first holds a configuration lease.
func (in *Instance) Ready() <-chan struct{} { return in.ready }

// Run serves until ctx ends, then stops without cutting a request: it takes no
// new ones, waits for those in progress and for their receipts, and returns nil.
func (in *Instance) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g := task.New(background)
	in.network.Start(g)
	if in.voter != nil {
		g.Go("voter", in.voter.run)
	}
	for range receipt.CloserCount() {
		g.Go("receipts", in.receipts.RunCloser)
	}
	g.Go("dispatch", in.dispatcher.Run)
	if len(in.settings.Seeds) > 0 {
		g.Go("seek", in.seek)
	}
	g.Go("gauges", in.updateGauges)
	for _, k := range []*cert.Reloader{in.peerCert, in.callerCert} {
		if k != nil {
			g.Go("certificate", k.Run)
		}
	}
	if in.listeners.callers != nil {
		g.Go("lease", in.renewLease)
		g.Go("table", in.pullTables)
		g.Go("forget", in.forgetPrompts)
		if in.settings.Routing.Share {
			g.Go("share", in.shareLoads)
		}
		g.Go("callers", in.serveCallers)
	}
	if in.placing != nil {
		g.Go("locate", in.placing.locate)
		g.Go("notes", in.placing.send)
	}
	if in.placer != nil {
		g.Go("placer", in.placeTargets)
		if in.settings.Routing.Stages {
			g.Go("works", in.tellWorks)
		}
		if in.listeners.callers == nil {
			g.Go("table", in.pullTables)
			g.Go("forget", in.forgetPrompts)
			g.Go("share", in.shareLoads)
		}
	}
	g.Go("control", in.serveControl)
	if in.listeners.metrics != nil {
		g.Go("metrics", in.serveMetrics)
	}
	g.Go("stop", func(background context.Context) error {
		select {
		case <-background.Done():
			return nil
		case <-ctx.Done():
		}
		in.drain(background)
		g.Stop()
		return nil
	})
	in.log.WithFields(logrus.Fields{
		"event": "started", "callers": in.CallersAddr(), "control": in.ControlAddr(), "voter": in.voter != nil, "boot": in.boot,
	}).Info("started")
	err := g.Wait()
	in.engines.Close()
	in.plain.Close()
	in.targets.Close()
	_ = in.metrics.Close() // the last counts are lost with the process anyway
	in.log.WithFields(logrus.Fields{"event": "stopped", "cause": err}).Info("stopped")
	return err
}

// drain takes the instance out of service and waits for what is in progress.
func (in *Instance) drain(ctx context.Context) {
	in.stopping.Store(true)
	in.log.WithField("event", "draining").Info("draining")
	in.linger(ctx)
	in.gate.Drain()
	if bound := in.settings.StopBound(); bound > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, bound)
		defer cancel()
	}
	ticker := time.NewTicker(stopEvery)
	defer ticker.Stop()
	for {
		running, waiting := in.dispatcher.Load()
		if running+waiting+in.receipts.Pending() == 0 {
			break
		}
		select {
		case <-ctx.Done():
			in.log.WithFields(logrus.Fields{"event": "drain_bound", "running": running}).Warn("stopped before every request ended")
			return
		case <-ticker.C:
		}
	}
	in.handOver(ctx)
}

// linger goes on serving while the balancer takes the instance out.
func (in *Instance) linger(ctx context.Context) {
	wait := in.settings.Timing.Linger.AsDuration()
	if wait == 0 {
		return
	}
	close(in.lingers)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// handOver gives the leadership away while the connections still stand.
func (in *Instance) handOver(ctx context.Context) {
	if in.voter == nil || !in.voter.handOver() {
		return
	}
	deadline := time.NewTimer(leader.LeaseDuration)
	defer deadline.Stop()
	ticker := time.NewTicker(stopEvery)
	defer ticker.Stop()
	for {
		if !in.voter.leads() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-ticker.C:
		}
	}
}

// handle answers a message of another instance.
func (in *Instance) handle(ctx context.Context, from ident.InstanceID, b peer.Body) (peer.Body, error) {
	switch b := b.(type) {
	case *peer.Quorum:
		if in.voter != nil {
			in.voter.receive(from, b.Message)
		}
		return nil, nil
	case *peer.Table:
		return &peer.Listing{Targets: in.fleet.Listing(clock.Now(), b.Since)}, nil
	case *peer.Locate:
		return &peer.Located{Region: in.settings.Region}, nil
	case *peer.Place:
		if in.placer == nil {
			return nil, fault.New(fault.NoTarget, "this instance does not place")
		}
		return in.placer.Place(clock.Now(), b)
	case *peer.Progress:
		if in.placer != nil {
			in.placer.Notify(b.Notes)
		}
		return nil, nil
	case *peer.Form:
		if in.voter == nil {
			return nil, fault.New(fault.BadRequest, "this instance has no data folder")
		}
		return in.voter.onForm(b), nil
	}
	if in.voter == nil {
		return nil, fault.New(fault.NotLeader, "this instance is no voter")
	}
	ctx, cancel := context.WithTimeout(ctx, boundOf(b))
	defer cancel()
	return in.voter.handle(ctx, b)
}

// boundOf returns the longest time for a question.
func boundOf(b peer.Body) time.Duration {
	if _, slow := b.(*peer.Member); slow {
		return catchUpTime + handleTime
	}
	return handleTime
}
