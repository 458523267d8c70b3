package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
)

// Bounds of the engine protocol.
const (
	maxEventBytes = 1 << 20 // one server-sent event
	maxReplyBytes = 4 << 20 // one reply that is not streamed
	dialTimeout   = 2 * time.Second
)

// Paths of the engine's HTTP interface.
const (
	PathChat  = "/v1/chat/completions"
	PathOrder = "/v1/order"
	PathState = "/v1/state"
)

// HeaderRequestID is the header with the attempt's id.
const HeaderRequestID = "X-Request-Id"

// Client sends requests to engines, each on a connection of its own: an answer names its request only in its body, so on
// a connection that is used again, a refusal that the engine writes once more could be taken for that of the next request. It
// is safe for concurrent use.
type Client struct {
	http        *http1.Client
	idleTimeout time.Duration // maximum time between two lines of a stream
}

// NewClient returns a client that aborts a stream if no complete line arrives for the time idle.
func NewClient(idle time.Duration) *Client {
	return &Client{idleTimeout: idle, http: http1.New(http1.Options{
		Connection: tcp.Options{DialTimeout: dialTimeout}, OneRequest: true,
	})}
}

// do sends a request. Its error is of kind fault.TargetFailed. The response must be closed, which ends the engine's work.
func (c *Client) do(ctx context.Context, addr string, r *http1.Request) (*http1.Response, error) {
	r.Host = addr
	resp, err := c.http.Do(ctx, addr, r)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	return resp, nil
}

func (c *Client) post(ctx context.Context, addr string, call Call) (*http1.Response, error) {
	body, err := call.encode()
	if err != nil {
		return nil, err
	}
	header := http.Header{"Content-Type": {"application/json"}}
	header.Set(HeaderRequestID, string(call.Attempt))
	resp, err := c.do(ctx, addr, &http1.Request{Method: http.MethodPost, URI: PathChat, Header: header, Body: body})
	if err != nil {
		return nil, err
	}
	if call.Head != nil {
		call.Head(resp.Status, resp.Header)
	}
	if resp.Status == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Close() }()              // never fails
	text, _ := io.ReadAll(io.LimitReader(resp, 512)) // only the status matters
	kind := fault.TargetFailed
	if resp.Status == http.StatusBadRequest {
		kind = fault.BadRequest
	}
	return nil, fault.New(kind, "engine %s: status %d: %s", addr, resp.Status, bytes.TrimSpace(text))
}

// Prefill processes a prompt and returns a handle for the transfer of its KV cache.
func (c *Client) Prefill(ctx context.Context, addr string, call Call) (*KVHandle, error) {
	call.Export = true
	resp, err := c.post(ctx, addr, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Close() }() // never fails
	var done Completion
	if err := answer.DecodeJSON(resp, maxReplyBytes, &done); err != nil {
		return nil, fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	if done.ID != string(call.Attempt) || done.Transfer == nil || done.Transfer.Handover == nil {
		return nil, fault.New(fault.TargetFailed, "engine %s: prefill reply with id %q has the wrong id or no KV cache handle", addr, done.ID)
	}
	return done.Transfer.Handover, nil
}

// Stream runs one attempt and passes each new token of the answer to deliver. It returns nil only
// if the answer is complete. An error of deliver ends the stream and is returned unchanged.
func (c *Client) Stream(ctx context.Context, addr string, call Call, a *Answer, deliver func(text string) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.BeginAttempt(call.Attempt)
	resp, err := c.post(ctx, addr, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Close() }() // never fails
	idleTimer := time.AfterFunc(c.idleTimeout, cancel)
	defer idleTimer.Stop()

	lines := bufio.NewScanner(resp)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		idleTimer.Reset(c.idleTimeout)
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue // blank lines and comments
		}
		if data == "[DONE]" {
			return a.HandleEnd()
		}
		if err := handleEvent(addr, data, a, deliver); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fault.New(fault.TargetFailed, "engine %s: %v", addr, err)
	}
	return fault.New(fault.TargetFailed, "engine %s: stream of %q ended without its end marker", addr, call.Attempt)
}

func handleEvent(addr, data string, a *Answer, deliver func(string) error) error {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return fault.New(fault.TargetFailed, "engine %s: invalid event: %v", addr, err)
	}
	fresh, err := a.AddChunk(chunk)
	if err != nil || !fresh {
		return err
	}
	return deliver(chunk.Choices[0].Delta.Content)
}
