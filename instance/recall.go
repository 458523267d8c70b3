package instance

import (
	"context"
	"time"

	"github.com/hickoryridge/hickoryridge/dispatch"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/peer"
)

const (
	// recallTimeout bounds the question to one voter: two round trips between regions.
	recallTimeout = 100 * time.Millisecond
	// recallPause is the time until a voter that does not know a stream is asked again together with all
	// others. By then, what an instance told one voter has reached them.
	recallPause = 60 * time.Millisecond
)

var _ dispatch.StreamOrigins = (*factClient)(nil)

// Recall returns what began a stream. See dispatch.StreamOrigins.
func (c *factClient) Recall(ctx context.Context, k stream.Key, service ident.ServiceID, within time.Duration) (stream.Origin, bool, error) {
	request := &peer.Recall{Stream: k, Service: service, Within: within}
	first, err := c.recallFrom(ctx, c.current(), request)
	if err == nil && first.Known {
		return first.Origin, true, nil
	}
	select {
	case <-ctx.Done():
		return stream.Origin{}, false, ctx.Err()
	case <-time.After(recallPause):
	}
	return c.recallFromAll(ctx, request)
}

// recallFromAll asks all voters at once. It returns an error if none replied. A stream that none of them
// knows may still be told by the only version of the service, unless one voter has seen more.
func (c *factClient) recallFromAll(ctx context.Context, request *peer.Recall) (stream.Origin, bool, error) {
	type result struct {
		recalled *peer.Recalled
		err      error
	}
	voters := c.in.roster.Voters()
	results := make(chan result, len(voters))
	for _, id := range voters {
		go func() {
			recalled, err := c.recallFrom(ctx, id, request)
			results <- result{recalled, err}
		}()
	}
	err := fault.New(fault.NoQuorum, "no voter has been found yet")
	replied, several := false, false
	var sole *peer.Recalled
	for range voters {
		r := <-results
		switch {
		case r.err != nil:
			err = r.err
		case r.recalled.Known:
			return r.recalled.Origin, true, nil
		default:
			replied = true
			several = several || r.recalled.Several
			if r.recalled.Sole {
				sole = r.recalled
			}
		}
	}
	switch {
	case sole != nil && !several:
		return sole.Origin, true, nil
	case replied:
		return stream.Origin{}, false, nil
	default:
		return stream.Origin{}, false, err
	}
}

func (c *factClient) recallFrom(ctx context.Context, voter ident.InstanceID, request *peer.Recall) (*peer.Recalled, error) {
	if voter == "" {
		return nil, fault.New(fault.NoQuorum, "no voter has been found yet")
	}
	if voter == c.in.settings.Instance {
		return c.in.factHub.recall(request, c.in.targetPool.SoftwareVersions), nil
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	return callAs[*peer.Recalled](ctx, c.in.network.Call, voter, request)
}
