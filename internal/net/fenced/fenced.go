// Package fenced sends requests that must not be complete unless their sender still has the authority to send them.
//
// A request goes over a connection of its own. All but its last byte are sent first; the last one only if the sender
// confirms its authority at that moment, so that a sender that was suspended or cut off in between sends nothing
// that can take effect. A connection without a whole answer is reset, so that what the network still holds of the
// request is dropped.
package fenced

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
)

const (
	dialTimeout = 2 * time.Second
	// maxText is the number of bytes of an answer's body that are kept.
	maxText = 512
	// maxBody bounds the rest of an answer's body, which is read to see whether it is whole.
	maxBody = 1 << 20 // bytes
)

var errBodyTooLarge = errors.New("body exceeds 1 MiB")

// Answer is the answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Text   []byte // beginning of the body, without white space around it
}

// Send sends a whole HTTP request, within the deadline of ctx. An error has the outcome fault.RanNo if the request was not
// complete, so that it has no effect.
func Send(ctx context.Context, addr string, request []byte, authority func() bool) (*Answer, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.WithRan(fault.New(fault.TargetFailed, "%s: %v", addr, err), fault.RanNo)
	}
	a, err := send(ctx, c, request, authority)
	if tcp, ok := c.(*net.TCPConn); ok && err != nil {
		_ = tcp.SetLinger(0) // closing resets the connection; it is closed in any case
	}
	_ = c.Close() // only the answer matters
	return a, err
}

func send(ctx context.Context, c net.Conn, request []byte, authority func() bool) (*Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, fault.WithRan(fault.Wrap(fault.Internal, err), fault.RanNo)
		}
	}
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })() // ends what blocks
	last := len(request) - 1
	if _, err := c.Write(request[:last]); err != nil {
		return nil, fault.WithRan(fault.New(fault.TargetFailed, "%s: %v", c.RemoteAddr(), err), fault.RanNo)
	}
	if !authority() {
		return nil, fault.WithRan(fault.New(fault.NotLeader, "the sender lost its authority before the request was complete"), fault.RanNo)
	}
	if _, err := c.Write(request[last:]); err != nil {
		return nil, fault.New(fault.TargetFailed, "%s: %v", c.RemoteAddr(), err)
	}
	resp, err := answer.NewReader(c, nil, "").Final(http.MethodPost)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "%s: no answer: %v", c.RemoteAddr(), err)
	}
	text, err := readText(resp.Body)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "%s: the answer with status %d is not whole: %v", c.RemoteAddr(), resp.StatusCode, err)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Text: text}, nil
}

// readText reads a body to its end and returns its beginning.
func readText(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxText))
	if err != nil {
		return nil, err
	}
	rest, err := io.Copy(io.Discard, io.LimitReader(body, maxBody))
	if err == nil && rest == maxBody {
		err = errBodyTooLarge
	}
	return bytes.TrimSpace(text), err
}
