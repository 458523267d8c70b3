package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/seed"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/receipt"
	"github.com/hickoryridge/hickoryridge/state"
)

const (
	// tryTime bounds one question to one voter; a frozen leader costs this much.
	tryTime  = 800 * time.Millisecond
	tryPause = 40 * time.Millisecond
	// maxPause is the longest pause between two tries of one question. Pauses double up to it:
	// hundreds of instances without a leader would keep the voters too busy to elect one.
	maxPause = 320 * time.Millisecond
	// passOver is the time for which a voter that gave no answer is not asked again, while
	// there are others.
	passOver = 1 * time.Second
)

// leaderClient asks the leader of the quorum, wherever it is. Every command of the
// replicated state may be proposed again, so a question whose outcome is unknown is
// put to the next voter until the context ends.
type leaderClient struct {
	self   ident.InstanceID
	voters func() []ident.InstanceID
	local  peer.Handler
	call   func(ctx context.Context, to ident.InstanceID, b peer.Body) (peer.Body, error)
	found  func(seed.Instance) // takes the leader's address; nil where settings list it

	mu     sync.Mutex
	hint   ident.InstanceID
	next   int
	silent map[ident.InstanceID]clock.Time // voters that gave no answer, and until when they are passed over
}

var _ receipt.Log = (*leaderClient)(nil)

// ask puts b to voters until one answers as leader.
func (c *leaderClient) ask(ctx context.Context, b peer.Body) (peer.Body, error) {
	ran := fault.RanNo // of all tries so far
	pause := tryPause
	for {
		to := c.choose()
		reply, err := c.askOne(ctx, to, b)
		if err == nil {
			c.learn(to)
			return reply, nil
		}
		// One try with an unknown outcome makes the outcome of all unknown, whatever
		// the last one says.
		if !fault.Is(err, fault.NotLeader) && fault.ResponseOf(err).Ran != fault.RanNo {
			ran = fault.RanUnknown
		}
		if !again(err) || ctx.Err() != nil {
			return nil, fault.WithRan(err, ran)
		}
		c.forget(to, err)
		select {
		case <-ctx.Done():
			return nil, fault.WithRan(err, ran)
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

func (c *leaderClient) askOne(ctx context.Context, to ident.InstanceID, b peer.Body) (peer.Body, error) {
	if to == "" {
		return nil, fault.WithRan(fault.New(fault.NotLeader, "no voter is known yet"), fault.RanNo)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	if to == c.self {
		return c.local(ctx, c.self, b)
	}
	return c.call(ctx, to, b)
}

// again reports whether another voter may answer where one failed with err.
func again(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.Overloaded, fault.Draining, fault.InProgress:
		return true
	default:
		return false
	}
}

func (c *leaderClient) choose() ident.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := c.voters()
	for range voters {
		if c.hint != "" && !c.passed(c.hint) {
			break
		}
		c.hint = voters[c.next%len(voters)]
		c.next++
	}
	return c.hint
}

// passed reports whether a voter is passed over: it gave no answer a moment ago, and voters
// that have not noticed yet go on naming it as leader.
func (c *leaderClient) passed(id ident.InstanceID) bool { return clock.Now().Before(c.silent[id]) }

func (c *leaderClient) learn(to ident.InstanceID) {
	c.mu.Lock()
	c.hint = to
	c.mu.Unlock()
}

// forget drops a hint that failed; the one that failed may name the leader.
func (c *leaderClient) forget(to ident.InstanceID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hint == to {
		c.hint = ""
	}
	if fault.Is(err, fault.NoQuorum) {
		if c.silent == nil {
			c.silent = map[ident.InstanceID]clock.Time{}
		}
		c.silent[to] = clock.Now().Add(passOver)
	}
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Failure.Leader != "" && remote.Failure.Leader != to {
		c.hint = remote.Failure.Leader
		if c.found != nil && remote.Failure.Address != "" {
			c.found(seed.Instance{ID: remote.Failure.Leader, Address: remote.Failure.Address})
		}
	}
}

func askFor[T peer.Body](ctx context.Context, c *leaderClient, b peer.Body) (T, error) {
	var zero T
	reply, err := c.ask(ctx, b)
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "unexpected reply %T", reply)
	}
	return typed, nil
}

// Propose commits a command. See receipt.Log.
func (c *leaderClient) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	cmd.At = state.UnixMillisOf(time.Now())
	data, err := cmd.Encode()
	if err != nil {
		return state.Result{}, err
	}
	reply, err := askFor[*peer.Proposed](ctx, c, &peer.Propose{Command: data})
	if err != nil {
		return state.Result{}, err
	}
	return reply.Result, nil
}

// Lookup returns a receipt, after every earlier commit.
func (c *leaderClient) Lookup(ctx context.Context, id state.ReceiptID) (state.Receipt, bool, error) {
	reply, err := askFor[*peer.Found](ctx, c, &peer.Lookup{ID: id})
	if err != nil {
		return state.Receipt{}, false, err
	}
	return reply.Receipt, reply.Exists, nil
}

// InForce asks whether a view is in force everywhere, and who is waited for.
func (c *leaderClient) InForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID, error) {
	reply, err := askFor[*peer.Forced](ctx, c, &peer.Force{Version: v})
	if err != nil {
		return false, nil, err
	}
	return reply.InForce, reply.Waiting, nil
}

// View returns the newest view, after every earlier commit.
func (c *leaderClient) View(ctx context.Context) (state.View, error) {
	reply, err := askFor[*peer.ViewGive](ctx, c, &peer.ViewAsk{})
	if err != nil {
		return state.View{}, err
	}
	return reply.View, nil
}

// Member changes the voters.
func (c *leaderClient) Member(ctx context.Context, m peer.Member) error {
	_, err := c.ask(ctx, &m)
	return err
}

// Report returns the leader's report as JSON.
func (c *leaderClient) Report(ctx context.Context) ([]byte, error) {
	reply, err := askFor[*peer.Report](ctx, c, &peer.Status{})
	if err != nil {
		return nil, err
	}
	return reply.JSON, nil
}
