package instance

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/internal/target/link"
	"github.com/hickoryridge/hickoryridge/peer"
)

const (
	// linkInterval is the interval at which the need for a check of the link is looked for.
	linkInterval = 50 * time.Millisecond
	// linkCheckTimeout bounds one connection attempt of a check, and the check with it: many round trips
	// between regions.
	linkCheckTimeout = 300 * time.Millisecond
	// maxCarriersTried bounds the voters that one request tries, and so its wait for them.
	maxCarriersTried = 2
	// carrierSkip is the time for which a voter that did not carry a connection is not tried again while
	// there are others.
	carrierSkip = 1 * time.Second
)

// linkClient opens connections to targets: directly, or through a voter while this instance is cut off from
// all targets. See package link. It is safe for concurrent use.
type linkClient struct {
	in     *Instance
	direct peer.Dialer

	mu      sync.Mutex
	monitor link.Monitor
	next    int                             // rotates the targets that checks connect to
	skip    map[ident.InstanceID]clock.Time // voters that carried no connection, and until when they are skipped
}

func newLinkClient(in *Instance) *linkClient {
	options := http1.ConnectionOptions
	options.ReceiveBuffer = in.settings.KernelBuffer()
	return &linkClient{in: in, skip: map[ident.InstanceID]clock.Time{}, direct: func(ctx context.Context, addr string) (net.Conn, error) {
		return tcp.Dial(ctx, addr, options)
	}}
}

// cutOff reports whether this instance is cut off from all targets.
func (l *linkClient) cutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.CutOff()
}

// dial opens a connection to a target for a request.
func (l *linkClient) dial(ctx context.Context, addr string) (net.Conn, error) {
	if l.cutOff() {
		return l.relayed(ctx, addr)
	}
	c, err := l.direct(ctx, addr)
	l.record(ctx, addr, err)
	if err != nil && l.cutOff() { // found out meanwhile
		return l.relayed(ctx, addr)
	}
	return c, err
}

// record records the outcome of opening a connection. One that the caller gave up shows nothing.
func (l *linkClient) record(ctx context.Context, addr string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.monitor.Opened()
	case !errors.Is(ctx.Err(), context.Canceled):
		l.monitor.Failed(clock.Now(), addr)
	}
}

// broken records that a connection to a target gave no response.
func (l *linkClient) broken(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.monitor.Failed(clock.Now(), addr)
}

// relayed opens a connection through the first voter that carries it.
func (l *linkClient) relayed(ctx context.Context, addr string) (net.Conn, error) {
	err := error(fault.New(fault.NoTarget, "cut off from targets, and no other instance is connected"))
	carriers := l.carriers()
	for _, v := range carriers[:min(maxCarriersTried, len(carriers))] {
		var c net.Conn
		if c, err = l.in.network.Connect(ctx, v, addr); err == nil {
			l.in.metrics.Count("connections_relayed")
			return c, nil
		}
		var remote *peer.RemoteError
		if errors.As(err, &remote) && remote.Failure.Kind == fault.NoTarget || ctx.Err() != nil {
			break // the target is down for others too
		}
		l.skipCarrier(v)
	}
	return nil, err
}

// skipCarrier makes a voter the last to be tried for some time.
func (l *linkClient) skipCarrier(v ident.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skip[v] = clock.Now().Add(carrierSkip)
}

// carriers returns the connected voters in the order in which this instance opens connections through them.
func (l *linkClient) carriers() []ident.InstanceID {
	connected := slices.DeleteFunc(slices.Clone(l.in.roster.Voters()), func(v ident.InstanceID) bool { return !l.in.network.Connected(v) })
	ordered := link.Carriers(l.in.settings.Instance, connected, l.in.near)
	now := clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(ordered, func(a, b ident.InstanceID) int {
		return cmp.Compare(l.skipRank(now, a), l.skipRank(now, b))
	})
	return ordered
}

// skipRank returns 1 for a voter to skip and 0 for others. l.mu is held.
func (l *linkClient) skipRank(now clock.Time, v ident.InstanceID) int {
	if now.Before(l.skip[v]) {
		return 1
	}
	return 0
}

// doubtful reports whether failures of targets may be failures of this instance's link.
func (l *linkClient) doubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Doubtful(clock.Now())
}

// watch is the background task that checks the link when there is reason to.
func (l *linkClient) watch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(linkInterval):
		}
		l.mu.Lock()
		due := l.monitor.Due(clock.Now())
		l.mu.Unlock()
		if due {
			l.check(ctx)
		}
	}
}

// check finds out whether this instance is cut off.
func (l *linkClient) check(ctx context.Context) {
	sample := l.sample()
	r := link.Result{Direct: countOpened(ctx, sample, l.direct)}
	if r.Direct == 0 {
		r.Relayed = countOpened(ctx, sample, l.relayed)
	}
	if ctx.Err() != nil {
		return // stopped
	}
	l.mu.Lock()
	changed := l.monitor.Checked(clock.Now(), r)
	l.mu.Unlock()
	if changed {
		l.changed(r)
	}
}

// changed acts on a link that was lost or is back.
func (l *linkClient) changed(r link.Result) {
	event, text := "link_back", "targets can be reached directly again"
	if l.cutOff() {
		event, text = "link_lost", "this instance is cut off from all targets; its requests go through voters"
		l.in.targetClient.Close() // idle connections may hang
		if f := l.in.facts(); f != nil {
			f.CutOff()
		}
	}
	l.in.log.WithFields(logrus.Fields{"event": event, "direct": r.Direct, "relayed": r.Relayed, "through": l.carriers()}).Warn(text)
}

// sample returns the addresses of a few targets that announce themselves, other ones each time and of different
// domains first.
func (l *linkClient) sample() []string {
	now := clock.Now()
	var first, rest []string
	domains := map[ident.DomainID]bool{}
	all := l.in.targetPool.Records()
	l.mu.Lock()
	l.next++
	start := l.next
	l.mu.Unlock()
	for i := range all {
		r := &all[(i+start)%len(all)]
		switch {
		case !r.Usable(now):
		case domains[r.Domain]:
			rest = append(rest, r.Address)
		default:
			domains[r.Domain] = true
			first = append(first, r.Address)
		}
	}
	joined := append(first, rest...)
	return joined[:min(link.SampleSize, len(joined))]
}

// countOpened opens connections at the same time and returns how many could be opened.
func countOpened(ctx context.Context, addrs []string, dial peer.Dialer) int {
	ctx, cancel := context.WithTimeout(ctx, linkCheckTimeout)
	defer cancel()
	results := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() {
			c, err := dial(ctx, addr)
			if err == nil {
				_ = c.Close() // nothing was sent
			}
			results <- err == nil
		}()
	}
	n := 0
	for range addrs {
		if <-results {
			n++
		}
	}
	return n
}

// dialForPeer opens a connection to a target for another instance. It connects only to addresses that targets
// have announced.
func (in *Instance) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	if in.stages.isLeaving() {
		return nil, fault.New(fault.Draining, "this instance is stopping")
	}
	if !in.targetPool.Announces(addr) {
		return nil, fault.New(fault.NoTarget, "no target has announced the address %s", addr)
	}
	c, err := in.link.direct(ctx, addr)
	if err != nil {
		return nil, fault.New(fault.NoTarget, "%v", err)
	}
	in.metrics.Count("connections_carried")
	return c, nil
}
