// Package instance assembles one instance of the system: the connections to other instances, the
// replica of the log if the instance is a voter, the configuration lease, the target table, and
// the listeners for callers and for operators, targets and the platform.
//
// An instance with a data directory is a voter: it keeps a replica of the log and can become leader.
// An instance with a callers address is an entry: it serves callers while it holds a configuration
// lease from the leader. One instance may be both. Where placers are enabled, one voter in each
// region selects targets on behalf of the entries there.
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
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/host/startup"
	"github.com/hickoryridge/hickoryridge/internal/net/cert"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/internal/task"
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
	// handleTimeout bounds the handling of another instance's request.
	handleTimeout = 5 * time.Second
	// routeNoise is the largest random increase of a target's routing cost, as a fraction of the
	// cost of the request itself; see router.Config.Noise. It keeps several instances from choosing
	// the same one of equal targets.
	routeNoise = 0.1
)

// Instance is one instance of the system. New creates it and Run serves.
type Instance struct {
	settings     *settings.Settings
	boot         ident.BootID
	log          *logrus.Entry
	peerCert     *cert.Reloader // nil for plain TCP
	callerCert   *cert.Reloader // nil for plain TCP
	listeners    listeners
	network      *peer.Network
	roster       *roster
	voter        *voter // nil if the instance is not a voter
	leader       *leaderClient
	gate         *dispatch.Gate
	targetPool   *dispatch.TargetPool
	engines      *engine.Client
	plain        *plain.Client
	targetClient *http1.Client // sends forwarded requests
	directClient *http1.Client // sends orders in the protocol of the platform, never through another instance
	link         *linkClient   // opens the connections of targetClient
	receipts     *receipt.Runner
	dispatcher   *dispatch.Dispatcher
	placerClient *placerClient    // nil if this instance selects targets itself
	refresher    targetRefresher  // reads newer announcements out of turn
	confirmer    configConfirmer  // reads a newer configuration out of turn
	usageCounter *usageCounter    // counts the requests of workspaces; nil if disabled
	wall         wallClock        // true time; known only where usage is reported
	placer       *dispatch.Placer // selects targets for other instances; nil if disabled
	factClient   *factClient      // shares facts through a voter; nil if disabled
	factHub      *factHub         // the facts at this voter; nil if disabled or no voter
	metrics      *metrics.Metrics
	startup      *startup.Record
	// requestMemory and answerMemory bound what is kept of the requests of callers, operators and targets, and
	// of targets' answers.
	requestMemory, answerMemory *budget.Budget
	stages                      stages
	// requests is the context of requests of callers, and of all that serves them. abort ends it, with a cause.
	requests       context.Context
	abort          context.CancelCauseFunc
	latestSettings atomic.Pointer[settings.Settings] // most recent settings
	// confirmedView is the newest view that this instance has confirmed to the leader. It is owned
	// by the lease task.
	confirmedView state.Version
	// holdsLease reports whether the lease was held at the last check. It is owned by the lease
	// task.
	holdsLease  bool
	leaseGained chan struct{} // signals that the lease was gained
	// leaseHolders is the number of instances that hold leases. It is written by the lease task.
	leaseHolders atomic.Int64
	ready        chan struct{}
}

// listeners holds an instance's listening sockets. Those that are not configured are nil.
type listeners struct {
	callers, control, peer, metrics net.Listener
}

// New opens the listeners and the data directory of an instance. Run starts it.
func New(s *settings.Settings, logger *logrus.Logger) (*Instance, error) {
	boot := ident.BootID(ident.NewRandom())
	in := &Instance{
		settings: s, boot: boot, ready: make(chan struct{}), stages: newStages(), leaseGained: make(chan struct{}, 1),
		log:     logger.WithFields(logrus.Fields{"instance": s.Instance}),
		gate:    dispatch.NewGate(),
		engines: engine.NewClient(s.IdleLimit()),
		metrics: metrics.New(), startup: startup.New(clock.Now()), requestMemory: budget.New(s.RequestMemory()), answerMemory: budget.New(s.AnswerMemory()),
	}
	in.requests, in.abort = context.WithCancelCause(context.Background())
	in.plain = plain.NewClient(in.answerMemory)
	in.latestSettings.Store(s)
	if err := in.loadTLS(); err != nil {
		return nil, err
	}
	if err := in.listen(); err != nil {
		return nil, err
	}
	in.targetPool = dispatch.NewTargetPool(routing(s), in.gate, target.RunID(rand.Uint64()|1))
	in.targetPool.SetMaxLease(s.TargetLease())
	if s.Protocol == settings.ProtocolPlatform {
		in.targetPool.NumberStarts(platform.NumberOfStart)
	}
	in.link = newLinkClient(in)
	in.targetClient = http1.New(http1.Options{Dial: in.link.dial, Broken: in.link.broken, Heads: in.answerMemory})
	in.directClient = http1.New(http1.Options{Heads: in.answerMemory})
	peers := map[ident.InstanceID]string{}
	for _, p := range s.Peers {
		peers[p.Instance] = p.Address
	}
	in.network = peer.NewNetwork(peer.Config{
		Self: peer.Hello{Instance: s.Instance, Boot: boot}, Listen: in.listeners.peer,
		Peers: peers, AcceptUnknown: len(s.Seeds) > 0, TLS: in.peerTLS(), Handler: in.handle, Dial: in.dialForPeer, Log: in.log,
	})
	in.roster = &roster{self: s.Instance, network: in.network, voters: s.Voters()}
	in.leader = &leaderClient{self: s.Instance, voters: in.roster.Voters, local: in.handle, call: in.network.Call}
	in.leader.addVoter = func(i seed.Instance) { in.roster.Add([]seed.Instance{i}) }
	in.receipts = receipt.NewRunner(in.leader, in.log)
	in.refresher = newTargetRefresher(in)
	in.confirmer = newConfigConfirmer(in)
	in.wall.voter, in.wall.self = s.Voter(), s.Instance
	if s.Provider.ReportsUsage() && in.listeners.callers != nil {
		in.usageCounter = newUsageCounter(in)
	}
	if s.Routing.Place && in.listeners.callers != nil {
		in.placerClient = newPlacerClient(s.Region, in.roster.Voters, in.network, in.log)
		in.placerClient.replied = func() { in.reach(startup.Placer) }
	}
	if s.Routing.Place && s.Voter() {
		in.placer = dispatch.NewPlacer(in.targetPool)
	}
	if s.Routing.Facts {
		in.factClient = newFactClient(in)
		if s.Voter() {
			in.factHub = newFactHub(in.targetPool.Announced)
		}
	}
	in.dispatcher = dispatch.New(dispatch.Config{
		Instance: s.Instance, Boot: boot, Gate: in.gate, Targets: in.targetPool, Engines: in.engines,
		Plain: in.plain, Backend: &platform.Backend{Client: in.targetClient, Log: in.log}, Receipts: in.receipts, Metrics: in.metrics, Log: in.log, MaxRunning: s.RunningLimit(), Answers: in.answerMemory, Requests: in.requests,
		Placement: in.placing(), Facts: in.facts(), Origins: in.origins(), Refresher: in.refresher, Confirmer: in.confirmer, Usage: in.usage(), Hold: s.Timing.Hold.AsDuration(), Defers: s.Routing.Defer, Unread: s.Limits.Unread, Doubtful: in.link.doubtful,
		Served:  func() { in.reach(startup.Answer) },
		Retries: admit.RetryLimit{Ratio: s.Retries.Ratio, Window: s.Retries.Window.AsDuration(), Slack: s.Retries.Slack},
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

// placing returns the client that requests targets from placers, as an interface that is nil if
// this instance selects targets itself.
func (in *Instance) placing() dispatch.PlacementClient {
	if in.placerClient == nil {
		return nil
	}
	return in.placerClient
}

// facts returns the facts that this instance shares, nil if it shares none.
func (in *Instance) facts() *dispatch.Facts {
	if in.factClient == nil {
		return nil
	}
	return in.factClient.facts
}

// origins returns the client that looks up what began streams, as an interface that is nil if facts are not
// shared.
func (in *Instance) origins() dispatch.StreamOrigins {
	if in.factClient == nil {
		return nil
	}
	return in.factClient
}

// routing returns the router configuration for the given settings.
func routing(s *settings.Settings) router.Config {
	links := router.DefaultLinks()
	if s.Routing.CrossRegionCost > 0 {
		links.CrossRegionCost = s.Routing.CrossRegionCost.AsDuration()
	}
	return router.Config{
		Region: s.Region, Domain: s.Domain, Links: links, Seed: uint64(time.Now().UnixNano()), Noise: routeNoise,
		Handover: s.Routing.Handover.AsDuration(), TransferTime: s.Routing.TransferTime.AsDuration(), RecomputeTime: s.Routing.RecomputeCost.AsDuration(), MaxRetention: s.Routing.CacheLifetime.AsDuration(),
		HomeEngines: s.Routing.Homes, KVFetch: s.Routing.Fetch, SharedQueues: s.Routing.Share, NoReservedEngine: s.Routing.Spread, SharedFailures: s.Routing.Failures,
		LearnRates: s.Routing.Learn, LearnSpeeds: s.Routing.Speeds, DisjointTargets: s.Routing.Place && s.Voter(),
	}
}

// callerUnackedTimeout is the time after which unacknowledged data closes a caller's connection, where slow callers are given
// time. A caller that reads nothing for some seconds has a closed window, which counts as unacknowledged. Its rule's timeout
// ends its request earlier.
const callerUnackedTimeout = 30 * time.Second

// callerOptions returns the options of callers' connections.
func (in *Instance) callerOptions() tcp.Options {
	o := peer.ConnectionOptions
	if in.settings.Limits.Unread > 0 {
		o.SendBuffer = in.settings.KernelBuffer()
		o.UserTimeout = callerUnackedTimeout
	}
	return o
}

func (in *Instance) listen() error {
	usual := peer.ConnectionOptions
	for _, l := range []struct {
		addr    string
		options tcp.Options
		into    *net.Listener
	}{
		{in.settings.Callers, in.callerOptions(), &in.listeners.callers},
		{in.settings.Control, usual, &in.listeners.control},
		{in.settings.Peer, usual, &in.listeners.peer},
		{in.settings.Metrics, usual, &in.listeners.metrics},
	} {
		if l.addr == "" {
			continue // not configured
		}
		opened, err := tcp.Listen(l.addr, l.options)
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
			_ = open.Close() // no connection has been accepted yet
		}
	}
}

// CallersAddr returns the bound address for callers. It is empty if the instance serves none.
func (in *Instance) CallersAddr() string {
	if in.listeners.callers == nil {
		return ""
	}
	return in.listeners.callers.Addr().String()
}

// seeds returns the control addresses through which voters are found.
func (in *Instance) seeds() []string { return in.latestSettings.Load().Seeds }

// Reload applies changed settings. Only changes of the seeds take effect while the instance runs;
// all others take effect at the next start.
func (in *Instance) Reload(s *settings.Settings) {
	in.latestSettings.Store(s)
	in.log.WithFields(logrus.Fields{"event": "settings_reloaded", "seeds": s.Seeds}).Info("settings reloaded; only seeds take effect before the next start")
}

// ControlAddr returns the bound address for operators and targets.
func (in *Instance) ControlAddr() string { return in.listeners.control.Addr().String() }

// Ready returns a channel that is closed when the instance first holds a configuration lease.
func (in *Instance) Ready() <-chan struct{} { return in.ready }

// Run serves until ctx ends, then drains: after the linger time of the settings it takes no new
// requests, waits for those in progress and for their receipts, and returns nil. The settings may
// bound the wait.
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
		g.Go("seek", in.findVoters)
	}
	g.Go("gauges", in.updateGauges)
	for _, k := range []*cert.Reloader{in.peerCert, in.callerCert} {
		if k != nil {
			g.Go("certificate", k.Run)
		}
	}
	if in.listeners.callers != nil {
		g.Go("lease", in.renewLease)
		g.Go("table", in.pullTargets)
		g.Go("refresh", in.refresher.run)
		g.Go("confirm", in.confirmer.run)
		if in.usageCounter != nil {
			g.Go("usage", in.usageCounter.run)
		}
		g.Go("forget", in.pruneRouter)
		if in.settings.Routing.Share {
			g.Go("share", in.shareLoads)
		}
		g.Go("callers", in.serveCallers)
		g.Go("link", in.link.watch)
	}
	if in.listeners.callers != nil || in.placer != nil {
		g.Go("permits", in.acquirePermits)
	}
	if in.factClient != nil {
		g.Go("facts publish", in.factClient.publish)
		g.Go("facts watch", in.factClient.watch)
	}
	if in.factHub != nil {
		g.Go("facts derive", in.factHub.derive)
		g.Go("facts relay", in.relayFacts)
	}
	if in.placerClient != nil {
		g.Go("locate", in.placerClient.locateVoters)
		g.Go("notes", in.placerClient.sendNotes)
	}
	if in.placer != nil {
		g.Go("placer", in.runPlacer)
		if in.settings.Routing.Stages {
			g.Go("works", in.reportWork)
		}
		if in.listeners.callers == nil {
			g.Go("table", in.pullTargets)
			g.Go("forget", in.pruneRouter)
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
	in.targetClient.Close()
	in.directClient.Close()
	_ = in.metrics.Close() // the process ends, so unflushed counts are lost anyway
	in.log.WithFields(logrus.Fields{"event": "stopped", "cause": err}).Info("stopped")
	return err
}

// handle processes a message of another instance and returns the reply. A voter that does not lead
// and an instance that is no voter reply fault.NotLeader to requests for the leader.
func (in *Instance) handle(ctx context.Context, from ident.InstanceID, b peer.Body) (peer.Body, error) {
	switch b := b.(type) {
	case *peer.Quorum:
		if in.voter != nil {
			in.voter.receive(from, b.Message)
		}
		return nil, nil
	case *peer.Table:
		return &peer.Listing{Targets: in.targetPool.Listing(clock.Now(), b.Since), Wall: in.wallFor()}, nil
	case *peer.Locate:
		return &peer.Located{Region: in.settings.Region}, nil
	case *peer.Place:
		if in.placer == nil {
			return nil, fault.New(fault.NoTarget, "this instance is not a placer")
		}
		return in.placer.Place(clock.Now(), b)
	case *peer.Progress:
		if in.placer != nil {
			in.logLimits("placement", in.placer.Notify(b.Notes))
		}
		return nil, nil
	case *peer.Publish, *peer.Watch, *peer.Relay, *peer.FindStream:
		return in.handleFacts(ctx, b)
	case *peer.Form:
		if in.voter == nil {
			return nil, fault.New(fault.BadRequest, "this instance has no data directory")
		}
		return in.voter.handleForm(b), nil
	}
	if in.voter == nil {
		return nil, fault.New(fault.NotLeader, "this instance is not a voter")
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeoutOf(b))
	defer cancel()
	return in.voter.handle(ctx, b)
}

// handleTimeoutOf returns the time limit for handling a request. A membership change waits for the
// new disk to catch up.
func handleTimeoutOf(b peer.Body) time.Duration {
	if _, slow := b.(*peer.Member); slow {
		return catchUpTimeout + handleTimeout
	}
	return handleTimeout
}
