// Package seed lets an instance that knows only a few control addresses find the
// voters of the quorum.
//
// The model. A seed is the control address of some instance. Asked over HTTP, that
// instance tells its name, the address where other instances reach it, and the
// replicas of the log as far as it knows them. Seeds may be down, cut off or exchanged at any
// time: what they tell is added to what is known already, and only the quorum's own
// membership takes anyone away.
package seed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/reply"
)

// Path is where an instance tells of itself.
const Path = "/v1/seed"

const (
	askTime  = 1 * time.Second
	maxReply = 64 << 10 // bytes
)

// Instance is an instance with its address for other instances.
type Instance struct {
	ID      ident.InstanceID `json:"instance" msgpack:"instance"`
	Address string           `json:"address" msgpack:"address"`
}

// Info is what an instance tells of itself.
type Info struct {
	Instance
	Voter   bool       `json:"voter"`             // it keeps a data folder
	Members []Instance `json:"members,omitempty"` // replicas of the log; none before the quorum is founded
}

// Mount adds the seed's path to r.
func Mount(r chi.Router, tell func() Info) {
	r.Get(Path, func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, tell()) })
}

// Client asks seeds.
type Client struct {
	http http.Client
}

// NewClient returns a client. It keeps no connections.
func NewClient() *Client {
	return &Client{http: http.Client{Timeout: askTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Query asks the instance at a control address.
func (c *Client) Query(ctx context.Context, addr string) (Info, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+Path, nil)
	if err != nil {
		return Info{}, fault.New(fault.BadRequest, "seed %s: %v", addr, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Info{}, fault.New(fault.NotFound, "seed %s: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	var info Info
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(&info); err != nil {
		return Info{}, fault.New(fault.FrameInvalid, "seed %s: %v", addr, err)
	}
	if resp.StatusCode != http.StatusOK || info.ID == "" || info.Address == "" {
		return Info{}, fault.New(fault.FrameInvalid, "seed %s: status %d names no instance", addr, resp.StatusCode)
	}
	return info, nil
}
