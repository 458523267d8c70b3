package instance

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/fact"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/rendezvous"
	"github.com/hickoryridge/hickoryridge/peer"
)

// factVoterSkip is the time for which a voter that did not reply to a poll for facts is not asked again
// while there are others.
const factVoterSkip = 1 * time.Second

// factClient publishes facts to a voter and reads from it what follows from the facts of all instances. It
// is safe for concurrent use.
type factClient struct {
	in    *Instance
	facts *dispatch.Facts

	skipUntil map[ident.InstanceID]clock.Time // voters that did not reply; owned by watch

	mu    sync.Mutex
	voter ident.InstanceID // that this instance publishes to and watches; empty if there is none
}

func newFactClient(in *Instance) *factClient {
	return &factClient{in: in, facts: dispatch.NewFacts(in.settings.Instance), skipUntil: map[ident.InstanceID]clock.Time{}}
}

// current returns the voter to use, which stays the same as long as it replies.
func (c *factClient) current() ident.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voter
}

// choose returns the voter to use and whether it is another one than before. Instances spread over the
// voters of their region by rendezvous hashing.
func (c *factClient) choose(now clock.Time) (id ident.InstanceID, changed bool) {
	best := ident.InstanceID("")
	for _, v := range rendezvous.Order(c.in.settings.Instance, c.in.roster.Voters(), c.in.near) {
		if !now.Before(c.skipUntil[v]) {
			best = v
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = best != c.voter
	c.voter = best
	return best, changed
}

// near reports whether a voter is this instance or known to be in its region.
func (in *Instance) near(voter ident.InstanceID) bool {
	return voter == in.settings.Instance || in.placerClient != nil && in.placerClient.inRegion(voter)
}

// publish is the background task that publishes facts as soon as there are any.
func (c *factClient) publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.facts.Wanted():
		}
		to := c.current()
		if to == "" {
			continue // published once a voter is found
		}
		if b, s := c.facts.Take(clock.Now()); !b.Empty() {
			c.send(ctx, to, &peer.Publish{Instance: c.in.settings.Instance, Boot: c.in.boot, Sequence: s, Batch: b})
		}
	}
}

// send sends a message without a reply to a voter, which may be this instance.
func (c *factClient) send(ctx context.Context, to ident.InstanceID, b peer.Body) {
	if to != c.in.settings.Instance {
		c.in.network.Send(to, b)
		return
	}
	// It fails only where there is no hub, and this instance is a voter.
	_, _ = c.in.handleFacts(ctx, b)
}

// call calls a voter, which may be this instance.
func (c *factClient) call(ctx context.Context, to ident.InstanceID, b peer.Body) (peer.Body, error) {
	switch to {
	case "":
		return nil, fault.New(fault.NoQuorum, "no voter has been found yet")
	case c.in.settings.Instance:
		return c.in.handleFacts(ctx, b)
	default:
		return c.in.network.Call(ctx, to, b)
	}
}

// watch is the background task that reads what follows from the facts of all instances.
func (c *factClient) watch(ctx context.Context) error {
	var seen fact.Mark
	for ctx.Err() == nil {
		to, changed := c.choose(clock.Now())
		if changed {
			c.facts.Repeat(clock.Now())
			c.in.log.WithFields(logrus.Fields{"event": "facts_from", "voter": to}).Info("facts are shared through this voter")
		}
		watched, err := c.poll(ctx, to, seen)
		if err == nil {
			seen = watched.Mark
			c.apply(watched)
			continue
		}
		c.skipUntil[to] = clock.Now().Add(factVoterSkip)
		select {
		case <-ctx.Done():
		case <-time.After(factRetryPause):
		}
	}
	return ctx.Err()
}

func (c *factClient) poll(ctx context.Context, to ident.InstanceID, seen fact.Mark) (*peer.Watched, error) {
	ctx, cancel := context.WithTimeout(ctx, factPollTimeout)
	defer cancel()
	request := &peer.Watch{Instance: c.in.settings.Instance, Boot: c.in.boot, Last: c.facts.Last(), Seen: seen}
	return replyAs[*peer.Watched](c.call(ctx, to, request))
}

func (c *factClient) apply(l *peer.Watched) {
	now := clock.Now()
	if l.Missing {
		c.facts.Repeat(now)
	}
	for _, change := range c.facts.Apply(now, l.Mark.Run, l.Suspects) {
		c.in.logQuarantine(change)
	}
}

func (in *Instance) logQuarantine(c quarantine.Change) {
	s := c.Suspect
	event, text := "part_quarantined", "a part of prompts, or a whole request, crashes targets; it is refused"
	if c.Ended {
		event, text = "part_released", "a part of prompts, or a whole request, is no longer refused"
	}
	in.log.WithFields(logrus.Fields{
		"event": event, "service": s.Part.Service, "software": s.Part.Software, "part": s.Part.ID, "whole": s.Part.Whole, "crashes": s.Crashes, "answers": s.Answers, "until": s.Until.AsDuration().Milliseconds(),
	}).Warn(text)
}
