// Package seed lets an instance that is configured with a few control addresses discover the voters
// of the quorum.
//
// A seed is the control address of any instance. Over HTTP, that instance reports its ID, its
// address for other instances and the replicas of the log as far as they are known to it. Seeds may
// be down, unreachable or replaced at any time. Their replies only add to the known instances; only
// the quorum's own membership removes one.
package seed

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
)

// Path is the HTTP path at which an instance describes itself.
const Path = "/v1/seed"

const (
	queryTimeout = 1 * time.Second
	maxReply     = 64 << 10 // bytes
)

// Instance is an instance and its address for other instances.
type Instance struct {
	ID      ident.InstanceID `json:"instance" msgpack:"instance"`
	Address string           `json:"address" msgpack:"address"`
}

// Info is the description that an instance returns of itself.
type Info struct {
	Instance
	Voter bool `json:"voter"` // it has a data directory
	// Members holds the replicas of the log. It is empty before the quorum is founded.
	Members []Instance `json:"members,omitempty"`
}

// Mount registers the seed endpoint on r. describe returns the present description of this
// instance.
func Mount(r chi.Router, describe func() Info) {
	r.Get(Path, func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, describe()) })
}

// Client queries seeds. It is safe for concurrent use.
type Client struct {
	http *http1.Client
}

// NewClient returns a client. It does not keep connections open.
func NewClient() *Client {
	return &Client{http1.New(http1.Options{Connection: tcp.Options{DialTimeout: queryTimeout}, OneRequest: true})}
}

// Query returns the description of the instance at a control address. The error is a NotFound fault
// if the instance cannot be reached and a FrameInvalid fault if its reply is not a valid
// description.
func (c *Client) Query(ctx context.Context, addr string) (Info, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	resp, err := c.http.Do(ctx, addr, &http1.Request{Method: http.MethodGet, URI: Path, Host: addr, Header: http.Header{}})
	if err != nil {
		return Info{}, fault.New(fault.NotFound, "querying seed %s: %v", addr, err)
	}
	defer func() { _ = resp.Close() }() // never fails
	var info Info
	if err := answer.DecodeJSON(resp, maxReply, &info); err != nil {
		return Info{}, fault.New(fault.FrameInvalid, "decoding the reply of seed %s: %v", addr, err)
	}
	if resp.Status != http.StatusOK || info.ID == "" || info.Address == "" {
		return Info{}, fault.New(fault.FrameInvalid, "seed %s: reply with status %d lacks the instance ID or address", addr, resp.Status)
	}
	return info, nil
}
