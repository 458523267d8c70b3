package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
	"github.com/hickoryridge/hickoryridge/internal/net/fenced"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/state"
)

// OrderSendTimeout bounds the time from the first byte of an order to its last. An engine must drop
// a request that stays incomplete for longer. A new leader waits for the previous lease and this
// timeout before it sends its first order, so that no order of its predecessor can complete later.
const OrderSendTimeout = 2 * time.Second

// Order is a request to change an engine's configuration.
type Order struct {
	ID    ident.OrderID      `json:"id"`
	Fence ident.FencingToken `json:"fence"`
	Spec  state.EngineSpec   `json:"wish"`
}

// State is the state that an engine reports.
type State struct {
	Incarnation  ident.Incarnation `json:"incarnation"`
	Role         desired.Role      `json:"role"`
	Model        string            `json:"model"`
	Version      string            `json:"version"`
	Adapters     []string          `json:"adapters,omitempty"`
	LastOrder    ident.OrderID     `json:"order,omitempty"` // most recent order that was executed
	CurrentOrder ident.OrderID     `json:"busy,omitempty"`  // order being executed
	Running      int               `json:"running"`
	// Accepted counts the orders accepted since the engine started, if its protocol reports that.
	Accepted uint64 `json:"-"`
}

// Authority reports whether the sender may still give orders. It is called immediately before the
// byte that completes an order.
type Authority func() bool

// SendOrder sends an order on a separate connection. It sends all but the last byte, checks
// authority and then sends the last byte, so that a process that has lost its authority by then
// gives no order. Errors: fault.NotLeader if the order was withheld, fault.FenceRefused if the
// engine has seen a newer fencing token, fault.TargetFailed for other failures. After the latter,
// the outcome is unknown unless the error is marked with fault.RanNo.
func SendOrder(ctx context.Context, addr string, o Order, authority Authority) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n%s", PathOrder, addr, len(body), body)
	status, text, err := SendOrderBytes(ctx, addr, request, authority)
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

// SendOrderBytes sends an order given as a complete HTTP request on a separate connection, and
// returns the status and the text of the response. Like SendOrder it withholds the last byte until
// it has checked authority, and it returns the same kinds of errors except fault.FenceRefused.
func SendOrderBytes(ctx context.Context, addr string, request []byte, authority Authority) (status int, text []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, OrderSendTimeout)
	defer cancel()
	a, err := fenced.Send(ctx, addr, request, authority)
	if err != nil {
		return 0, nil, err
	}
	return a.Status, a.Text, nil
}

// State requests the state of an engine.
func (c *Client) State(ctx context.Context, addr string) (State, error) {
	var s State
	resp, err := c.do(ctx, addr, &http1.Request{Method: http.MethodGet, URI: PathState, Header: http.Header{}})
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Close() }() // never fails
	if resp.Status != http.StatusOK {
		return s, fault.New(fault.TargetFailed, "engine %s: status %d", addr, resp.Status)
	}
	if err := answer.DecodeJSON(resp, maxReplyBytes, &s); err != nil {
		return s, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	return s, nil
}
