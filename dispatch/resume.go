package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
)

// A stream goes on only at targets of the software version that began it, within an answer and when
// its caller takes it up; see package stream. With its first event, a request is bound to that version.

// originRetryAfter is the retry delay of a caller whose stream could not be looked up.
const originRetryAfter = 500 * time.Millisecond

// StreamOrigins looks up what began streams of other instances.
type StreamOrigins interface {
	// FindOrigin returns what began a stream of a service, within the given time. It returns false if that is
	// not known and does not follow otherwise, and an error if no voter replied.
	FindOrigin(ctx context.Context, k stream.Key, service ident.ServiceID, within time.Duration) (stream.Origin, bool, error)
}

// TargetRefresher reads the announcements that other instances have received.
type TargetRefresher interface {
	// Refresh returns once the announcements that the others had at the time of the call have been recorded
	// here, or after a short time without a reply.
	Refresh(ctx context.Context)
}

// refreshTargets makes sure, before a bound request is placed, that the record of a target is not older than
// the failure after which the request goes on. A target that has started again as another version under
// its ID and address would be taken for the earlier one until the next periodic exchange.
func (r *forwardRun) refreshTargets(ctx context.Context) {
	if r.software != nil && r.d.cfg.Refresher != nil {
		r.d.cfg.Refresher.Refresh(ctx)
	}
}

// bind binds the request to the software version of the target that sent the first event, and records that for
// callers who take the stream up.
func (r *forwardRun) bind(a *Assignment) {
	r.software = r.softwareOf(a)
	if !r.req.Rule.Stream || r.software == nil {
		return
	}
	b := stream.Begun{Origin: stream.Origin{Service: r.req.Service, Software: a.Software}, Left: r.streamRetention(), Keys: []stream.Key{stream.KeyOf(r.req.ID)}}
	if r.req.BegunBy != "" && r.req.BegunBy != r.req.ID {
		b.Keys = append(b.Keys, stream.KeyOf(r.req.BegunBy)) // may be taken up once more
	}
	r.d.cfg.Facts.streamBegun(clock.Now(), b)
}

// softwareOf returns the software version that a request at a target needs from then on, or nil if facts are
// not shared. A placer of an earlier version cannot read a request that names one.
func (r *forwardRun) softwareOf(a *Assignment) *ident.SoftwareVersion {
	if r.d.cfg.Facts == nil {
		return nil
	}
	return &a.Software
}

// streamRetention returns the time for which the stream may be taken up.
func (r *forwardRun) streamRetention() time.Duration {
	return stream.Retention(max(r.req.Rule.Timeout.AsDuration(), r.req.Budget))
}

// takeUp binds a request that takes a stream up to the software version that began the stream. It
// returns a fault.StreamUnknown error if that is not known.
func (r *forwardRun) takeUp(ctx context.Context) error {
	f := r.req
	if !f.Rule.Stream || f.BegunBy == "" && f.LastEventID == "" || r.d.cfg.Facts == nil {
		return nil
	}
	origin, from, err := r.findOrigin(ctx)
	inSplit := slices.ContainsFunc(f.Rule.Split, func(w desired.WeightedService) bool { return w.Service == origin.Service })
	if err == nil && !inSplit {
		err = fault.New(fault.StreamUnknown, "the stream belongs to service %q, which the rule does not name", origin.Service)
	}
	r.d.cfg.Log.WithFields(logrus.Fields{
		"event": "stream_taken_up", "request": f.ID, "begunby": f.BegunBy, "after": f.LastEventID, "service": origin.Service, "software": origin.Software, "record": from, "cause": err,
	}).Info("a caller takes up a stream")
	if err != nil {
		r.d.cfg.Metrics.Count("streams_unknown")
		return err
	}
	r.d.cfg.Metrics.Count("streams_taken_up")
	f.Service = origin.Service
	r.software = &origin.Software
	return nil
}

// findOrigin returns what began the stream that the caller takes up, and where the record was.
func (r *forwardRun) findOrigin(ctx context.Context) (origin stream.Origin, from string, err error) {
	f := r.req
	key := stream.KeyOf(f.BegunBy)
	if origin, ok := r.d.cfg.Facts.origin(clock.Now(), key); ok && f.BegunBy != "" {
		return origin, "this instance", nil
	}
	if r.d.cfg.Origins == nil {
		return origin, "", fault.New(fault.StreamUnknown, "no voter has a record of the software version that began the stream")
	}
	origin, ok, err := r.d.cfg.Origins.FindOrigin(ctx, key, f.Service, r.streamRetention())
	switch {
	case err != nil:
		err = fault.New(fault.StreamUnknown, "no voter replied which software version began the stream: %v", err)
		return origin, "", fault.WithRetryAfter(err, originRetryAfter)
	case !ok:
		return origin, "", fault.New(fault.StreamUnknown, "no voter has a record of the software version that began the stream")
	}
	return origin, "a voter", nil
}
