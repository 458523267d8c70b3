package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/reply"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
)

// callTimeout bounds one API call. Adding a voter is the slowest call.
const callTimeout = 45 * time.Second

// client calls the control API of one instance and prints results to out and errors
// to errs.
type client struct {
	control string
	json    bool
	out     io.Writer
	errs    io.Writer
}

func (c *client) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.out, format, args...) }

func (c *client) errorf(format string, args ...any) { _, _ = fmt.Fprintf(c.errs, format, args...) }

// call sends a request and decodes a successful JSON response into v. It prints any
// error. The status is 0 if no response arrived.
func (c *client) call(method, path string, body []byte, v any) (status int, ok bool) {
	status, data, err := c.raw(method, path, body)
	if err != nil {
		c.errorf("hickoryctl: %v\n", err)
		return 0, false
	}
	if status >= http.StatusBadRequest {
		c.printFailure(status, data)
		return status, false
	}
	if err := json.Unmarshal(data, v); err != nil {
		c.errorf("hickoryctl: decode response: %v\n", err)
		return status, false
	}
	return status, true
}

// raw sends a request and returns the status and body of the response.
func (c *client) raw(method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sender := http1.New(http1.Options{Connection: tcp.Options{DialTimeout: callTimeout}, OneRequest: true})
	resp, err := sender.Do(ctx, c.control, &http1.Request{Method: method, URI: path, Host: c.control, Header: http.Header{}, Body: body})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Close() }() // never fails
	data, err := io.ReadAll(resp)
	return resp.Status, data, err
}

// printFailure prints an error response, as received if JSON output is selected.
func (c *client) printFailure(status int, data []byte) {
	if c.json {
		c.printf("%s\n", bytes.TrimSpace(data))
		return
	}
	var f reply.Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Error.Code == "" {
		c.errorf("hickoryctl: unexpected response with status %d: %s\n", status, bytes.TrimSpace(data))
		return
	}
	c.errorf("hickoryctl: %s: %s\n", f.Error.Code, f.Error.Message)
	for _, fault := range f.Error.Faults {
		c.errorf("  %s\n", fault.Error())
	}
	if f.Error.RetryAfter > 0 {
		c.errorf("  retry after %d s\n", f.Error.RetryAfter)
	}
}

// exitCodeOf maps the HTTP status of a failed call to an exit code.
func exitCodeOf(status int) int {
	if status == http.StatusUnprocessableEntity || status == http.StatusBadRequest {
		return cli.ExitInvalid
	}
	return cli.ExitFailed
}

func (c *client) printJSON(v any) int {
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		c.errorf("hickoryctl: %v\n", err)
		return cli.ExitFailed
	}
	return cli.ExitOK
}
