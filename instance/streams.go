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
	// findTimeout bounds the question to one voter: two round trips between regions.
	findTimeout = 100 * time.Millisecond
	// findPause is the time until a voter without a record of a stream is asked again together with all
	// others. By then, what an instance published to one voter has reached them.
	findPause = 60 * time.Millisecond
)

var _ dispatch.StreamOrigins = (*factClient)(nil)

// FindOrigin returns what began a stream. See dispatch.StreamOrigins.
func (c *factClient) FindOrigin(ctx context.Context, k stream.Key, service ident.ServiceID, within time.Duration) (stream.Origin, bool, error) {
	request := &peer.FindStream{Stream: k, Service: service, Within: within}
	first, err := c.findAt(ctx, c.current(), request)
	if err == nil && first.Known {
		return first.Origin, true, nil
	}
	select {
	case <-ctx.Done():
		return stream.Origin{}, false, ctx.Err()
	case <-time.After(findPause):
	}
	return c.findAtAll(ctx, request)
}

// findAtAll asks all voters at once.
func (c *factClient) findAtAll(ctx context.Context, request *peer.FindStream) (stream.Origin, bool, error) {
	voters := c.in.roster.Voters()
	results := make(chan findResult, len(voters))
	for _, id := range voters {
		go func() {
			found, err := c.findAt(ctx, id, request)
			results <- findResult{found, err}
		}()
	}
	var all []findResult
	for range voters {
		r := <-results
		all = append(all, r)
		if r.err == nil && r.found.Known {
			break
		}
	}
	return originOf(all)
}

// findResult is what one voter replied.
type findResult struct {
	found *peer.StreamFound
	err   error
}

// originOf returns what began a stream by the replies of all voters. Without any record, the stream goes on at the
// only version of the service, unless one voter has seen more, or did not reply: it may have the record, and
// targets of that version, while the others are out of step. It returns an error if that is why the origin is not known.
func originOf(all []findResult) (stream.Origin, bool, error) {
	err := error(nil)
	if len(all) == 0 {
		err = fault.New(fault.NoQuorum, "no voter has been found yet")
	}
	several := false
	var sole *peer.StreamFound
	for _, r := range all {
		switch {
		case r.err != nil:
			err = r.err
		case r.found.Known:
			return r.found.Origin, true, nil
		default:
			several = several || r.found.Several
			if r.found.Sole {
				sole = r.found
			}
		}
	}
	if err == nil && sole != nil && !several {
		return sole.Origin, true, nil
	}
	return stream.Origin{}, false, err
}

func (c *factClient) findAt(ctx context.Context, voter ident.InstanceID, request *peer.FindStream) (*peer.StreamFound, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return replyAs[*peer.StreamFound](c.call(ctx, voter, request))
}
