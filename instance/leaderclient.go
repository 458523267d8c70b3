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
	// attemptTimeout bounds one request to one voter. An unresponsive leader delays a request by
	// this much.
	attemptTimeout = 800 * time.Millisecond
	minRetryPause  = 40 * time.Millisecond
	// maxRetryPause is the longest pause between two attempts of one request. Pauses double up to
	// it; otherwise hundreds of instances without a leader would keep the voters too busy to elect
	// one.
	maxRetryPause = 320 * time.Millisecond
	// silentVoterSkip is the time for which a voter that did not reply, or did not commit a request
	// in time, is skipped while there are others.
	silentVoterSkip = 1 * time.Second
)

// leaderClient sends requests to the leader of the quorum and finds it as needed. Every command of
// the replicated state is idempotent, so a request with an unknown outcome is retried at the next
// voter until the context ends. It is safe for concurrent use.
type leaderClient struct {
	self     ident.InstanceID
	voters   func() []ident.InstanceID
	local    peer.Handler
	call     func(ctx context.Context, to ident.InstanceID, b peer.Body) (peer.Body, error)
	addVoter func(seed.Instance) // records the leader's address; nil where settings list it

	mu         sync.Mutex
	leaderHint ident.InstanceID
	nextVoter  int // index of the voter to try next without a hint, modulo their number
	// skipUntil holds the voters that failed with fault.NoQuorum, and until when to skip them.
	skipUntil map[ident.InstanceID]clock.Time
}

var _ receipt.Log = (*leaderClient)(nil)

// request sends b to voters until one replies as leader. The returned error says whether the
// request may have run.
func (c *leaderClient) request(ctx context.Context, b peer.Body) (peer.Body, error) {
	ran := fault.RanNo // over all attempts so far
	pause := minRetryPause
	redirected := false // the last attempt was at a leader that another voter named
	for {
		to := c.chooseVoter()
		reply, err := c.requestFrom(ctx, to, b)
		if err == nil {
			c.setLeader(to)
			return reply, nil
		}
		// One attempt with an unknown outcome makes the overall outcome unknown, whatever the
		// last attempt reports.
		if !fault.Is(err, fault.NotLeader) && fault.ResponseOf(err).Ran != fault.RanNo {
			ran = fault.RanUnknown
		}
		if !retryable(err) || ctx.Err() != nil {
			return nil, fault.WithRan(err, ran)
		}
		named := c.recordFailure(to, err)
		if named && !redirected {
			redirected = true
			continue // another voter is known to lead
		}
		redirected = false
		select {
		case <-ctx.Done():
			return nil, fault.WithRan(err, ran)
		case <-time.After(pause):
		}
		if to != "" {
			pause = min(2*pause, maxRetryPause) // without a voter, nobody is asked
		}
	}
}

func (c *leaderClient) requestFrom(ctx context.Context, to ident.InstanceID, b peer.Body) (peer.Body, error) {
	if to == "" {
		return nil, fault.WithRan(fault.New(fault.NotLeader, "no voter has been found yet"), fault.RanNo)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if to == c.self {
		return c.local(ctx, c.self, b)
	}
	return c.call(ctx, to, b)
}

// retryable reports whether another voter may succeed after one failed with err.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.Overloaded, fault.Draining, fault.InProgress:
		return true
	default:
		return false
	}
}

func (c *leaderClient) chooseVoter() ident.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := c.voters()
	for range voters {
		if c.leaderHint != "" && !c.skipped(c.leaderHint) {
			break
		}
		c.leaderHint = voters[c.nextVoter%len(voters)]
		c.nextVoter++
	}
	return c.leaderHint
}

// skipped reports whether a voter is skipped because it recently did not reply or commit a request
// in time. Other voters may still name it as leader until they detect the failure.
func (c *leaderClient) skipped(id ident.InstanceID) bool { return clock.Now().Before(c.skipUntil[id]) }

func (c *leaderClient) setLeader(to ident.InstanceID) {
	c.mu.Lock()
	c.leaderHint = to
	c.mu.Unlock()
}

// recordFailure drops the leader hint if that voter failed, skips a voter for silentVoterSkip if it
// did not reply or commit the request in time, and adopts the leader that the error names, if any. It reports whether
// there is one.
func (c *leaderClient) recordFailure(to ident.InstanceID, err error) (named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderHint == to {
		c.leaderHint = ""
	}
	if fault.Is(err, fault.NoQuorum) {
		if c.skipUntil == nil {
			c.skipUntil = map[ident.InstanceID]clock.Time{}
		}
		c.skipUntil[to] = clock.Now().Add(silentVoterSkip)
	}
	var remote *peer.RemoteError
	if errors.As(err, &remote) && remote.Failure.Leader != "" && remote.Failure.Leader != to {
		c.leaderHint = remote.Failure.Leader
		if c.addVoter != nil && remote.Failure.Address != "" {
			c.addVoter(seed.Instance{ID: remote.Failure.Leader, Address: remote.Failure.Address})
		}
		return true
	}
	return false
}

func requestAs[T peer.Body](ctx context.Context, c *leaderClient, b peer.Body) (T, error) {
	return replyAs[T](c.request(ctx, b))
}

// replyAs returns the reply of a call as the given type, or the error of the call.
func replyAs[T peer.Body](reply peer.Body, err error) (T, error) {
	var zero T
	if err != nil {
		return zero, err
	}
	typed, ok := reply.(T)
	if !ok {
		return zero, fault.New(fault.Internal, "unexpected reply of type %T, want %T", reply, zero)
	}
	return typed, nil
}

// Propose commits a command and returns the result of applying it. See receipt.Log.
func (c *leaderClient) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	cmd.At = state.UnixMillisOf(time.Now())
	data, err := cmd.Encode()
	if err != nil {
		return state.Result{}, err
	}
	reply, err := requestAs[*peer.Proposed](ctx, c, &peer.Propose{Command: data})
	if err != nil {
		return state.Result{}, err
	}
	return reply.Result, nil
}

// Lookup returns a receipt as of all earlier commits, and whether it exists.
func (c *leaderClient) Lookup(ctx context.Context, id state.ReceiptID) (state.Receipt, bool, error) {
	reply, err := requestAs[*peer.Found](ctx, c, &peer.Lookup{ID: id})
	if err != nil {
		return state.Receipt{}, false, err
	}
	return reply.Receipt, reply.Exists, nil
}

// InForce reports whether a view is in force on every instance, and which instances have not
// confirmed it.
func (c *leaderClient) InForce(ctx context.Context, v state.Version) (bool, []ident.InstanceID, error) {
	reply, err := requestAs[*peer.Forced](ctx, c, &peer.Force{Version: v})
	if err != nil {
		return false, nil, err
	}
	return reply.InForce, reply.Waiting, nil
}

// View returns the newest view as of all earlier commits.
func (c *leaderClient) View(ctx context.Context) (state.View, error) {
	reply, err := requestAs[*peer.ViewGive](ctx, c, &peer.ViewAsk{})
	if err != nil {
		return state.View{}, err
	}
	return reply.View, nil
}

// Member requests a change of the voters.
func (c *leaderClient) Member(ctx context.Context, m peer.Member) error {
	_, err := c.request(ctx, &m)
	return err
}

// Report returns the leader's status report as JSON.
func (c *leaderClient) Report(ctx context.Context) ([]byte, error) {
	reply, err := requestAs[*peer.Report](ctx, c, &peer.Status{})
	if err != nil {
		return nil, err
	}
	return reply.JSON, nil
}
