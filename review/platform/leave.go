package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playLeave sends payments. With trouble, the requester closes its direction of the channel after each of them.
func playLeave(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(3, 2, drainManifest)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := newReplica(s, "desk-1", "orders-desk", "v1", "", 48, func(ch *channel, req *http.Request) bool {
		id := req.Header.Get("X-Request-Id")
		rec.line("replica runs request %s", id)
		time.Sleep(100 * time.Millisecond)
		return ch.respond(req, http.StatusOK, http.Header{"X-Response-Signature": {"signed." + id}}, []byte("receipt of "+id)) == nil
	})
	if err != nil {
		return false, err
	}
	go r.announce(ctx)
	q := newRequester()
	if err := awaitServed(q, s.fronts[0], "/pay/warm"); err != nil {
		return false, err
	}
	wrong := 0
	for range 5 {
		id := newID()
		status, signature, body, err := payOnce(s.fronts[0].front(), id, trouble)
		rec.line("request %s: status %d, signature %q, body %q, error %v", id, status, signature, body, err)
		if err == nil && status == http.StatusOK && signature == "" {
			wrong++
		}
	}
	rec.line("%d of 5 payments got a success that no replica signed", wrong)
	return wrong > 0, nil
}

// payOnce sends a payment on a channel of its own.
func payOnce(addr, id string, halfClose bool) (status int, signature, body string, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /pay/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody", host, id); err != nil {
		return 0, "", "", err
	}
	if tcp, ok := c.(*net.TCPConn); ok && halfClose {
		if err := tcp.CloseWrite(); err != nil {
			return 0, "", "", err
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(data), err
}
