package http1

import (
	"io"
	"net"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
)

const (
	// freeHeaderBytes and freeBodyBytes are the memory for a header and a body that draws on no budget.
	freeHeaderBytes = 8 << 10
	freeBodyBytes   = 16 << 10
	// bodyCopies is the number of times that a body is kept: as it was read, and as it is sent.
	bodyCopies = 2
)

// hostOf returns the caller's host.
func hostOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// countedBody is a request's body that is held by an account.
type countedBody struct {
	io.ReadCloser
	account *budget.Account
	read    ident.Bytes
}

// Read reads from the body. Its error is fault.Overloaded if the budget is exhausted: the request has not run.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += ident.Bytes(n)
	if !b.account.Hold(bodyCopies * b.read) {
		return 0, fault.New(fault.Overloaded, "the bodies of requests in progress exceed their budget")
	}
	return n, err
}
