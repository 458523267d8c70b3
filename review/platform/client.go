package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester got.
type answer struct {
	id       string
	status   int // 0 if there was no answer
	header   http.Header
	body     string
	complete bool
	err      error
}

// requester sends requests on channels that it keeps.
type requester struct {
	client http.Client
}

func newRequester() *requester {
	return &requester{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// newID returns an id for a requester attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and reads its answer. It never repeats a request.
func (q *requester) send(addr, method, path string, budget time.Duration, h http.Header) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = "body of " + a.id
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // keeps the client from repeating the request
	req.Host = host
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.complete, a.err = resp.StatusCode, resp.Header, string(data), err == nil, err
	return a
}
