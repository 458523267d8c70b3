package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// OrderSendTimeout is the longest time from the first byte of an order to its last. An
// engine must drop a request that stays incomplete for longer; a new leader waits
// for the lease and this bound before its first order.
const OrderSendTimeout = 2 * time.Second

// Order is what an engine is told.
type Order struct {
	ID    ident.OrderID      `json:"id"`
	Fence ident.FencingToken `json:"fence"`
	Wish  state.EngineSpec   `json:"wish"`
}

// State is what an engine reports of itself.
type State struct {
	Incarnation  ident.Incarnation `json:"incarnation"`
	Role         desired.Role      `json:"role"`
	Model        string            `json:"model"`
	Version      string            `json:"version"`
	Adapters     []string          `json:"adapters,omitempty"`
	LastOrder    ident.OrderID     `json:"order,omitempty"` // newest order carried out
	CurrentOrder ident.OrderID     `json:"busy,omitempty"`  // order being carried out
	Running      int               `json:"running"`
	Accepted     uint64            `json:"-"` // orders that the engine has accepted since its start, where its protocol counts them
}

// Authority says whether the sender may still order. It is asked directly before
// the byte that makes an order complete.
type Authority func() bool

// SendOrder sends an order on a connection of its own. All but the last byte go
// first; the last one follows after a check of authority, so that a process that
// lost its authority before that point gives no order. Errors: fault.NotLeader
// if the order was held back, fault.FenceRefused if the engine knows a later
// order, fault.TargetFailed if the outcome is unknown.
func SendOrder(ctx context.Context, addr string, o Order, may Authority) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", PathOrder, addr, len(body), body)
	status, text, err := SendOrderBytes(ctx, addr, request, may)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusAccepted:
		return nil
	case status == http.StatusConflict:
		return fault.New(fault.FenceRefused, "engine %s: order %s: %s", addr, o.ID, text)
	default:
		return fault.New(fault.TargetFailed, "engine %s: order %s: status %d", addr, o.ID, status)
	}
}

// SendOrderBytes sends an order, as the bytes of a whole request, on a connection of its own, and returns the status and the
// text of the answer. All but the last byte go first; see SendOrder, also for the errors.
func SendOrderBytes(ctx context.Context, addr string, request []byte, may Authority) (status int, text []byte, err error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, nil, fault.WithRan(fault.New(fault.TargetFailed, "engine %s: %v", addr, err), fault.RanNo)
	}
	defer func() { _ = c.Close() }() // the reply is what counts
	if err := c.SetDeadline(time.Now().Add(OrderSendTimeout)); err != nil {
		return 0, nil, fault.Wrap(fault.Internal, err)
	}
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return 0, nil, fault.WithRan(fault.New(fault.TargetFailed, "engine %s: %v", addr, err), fault.RanNo)
	}
	if !may() {
		return 0, nil, fault.WithRan(fault.New(fault.NotLeader, "authority ended before the order was complete"), fault.RanNo)
	}
	if _, err := c.Write(request[last:]); err != nil {
		return 0, nil, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, fault.New(fault.TargetFailed, "engine %s: no answer to an order: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // the status is what counts
	text, _ = io.ReadAll(io.LimitReader(resp.Body, 512))
	return resp.StatusCode, bytes.TrimSpace(text), nil
}

// State asks an engine for its state.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+PathState, nil)
	if err != nil {
		return s, fault.Wrap(fault.Internal, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	defer func() { _ = resp.Body.Close() }() // decoded below
	if resp.StatusCode != http.StatusOK {
		return s, fault.New(fault.TargetFailed, "engine %s: status %d", addr, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&s); err != nil {
		return s, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	return s, nil
}
