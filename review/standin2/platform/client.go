package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// result is what a requester has seen of one request.
type result struct {
	id       string
	entry    *machine
	sent     time.Time
	ended    time.Time
	status   int // 0 if there was no answer
	complete bool
	body     string
	leaving  bool // the answer bore Server-Leaving
	err      error
}

// requesters send requests and keep their results. They are safe for concurrent use.
type requesters struct {
	rec  *record
	last atomic.Int64

	mu      sync.Mutex
	results []result
	pending sync.WaitGroup
}

// request describes a request.
type request struct {
	method string
	path   string
	body   string
	header map[string]string
	budget time.Duration
}

// send sends a request to an entry on a new channel, in the background.
func (q *requesters) send(m *machine, req request) (id string) {
	id = fmt.Sprintf("%s.%06d", m.name, q.last.Add(1))
	q.pending.Add(1)
	go func() {
		defer q.pending.Done()
		res := q.do(m, id, req)
		q.rec.note("request %s, sent to %s at %.3f: status %d, complete %v, %v", id, m.name, q.rec.since(res.sent), res.status, res.complete, res.err)
		q.mu.Lock()
		q.results = append(q.results, res)
		q.mu.Unlock()
	}()
	return id
}

func (q *requesters) do(m *machine, id string, req request) (res result) {
	res = result{id: id, entry: m, sent: time.Now()}
	defer func() { res.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), req.budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, req.method, "http://"+m.addr(callersPort)+req.path, io.NopCloser(bytes.NewReader([]byte(req.body))))
	if err != nil {
		res.err = err
		return res
	}
	r.Host = host
	r.ContentLength = int64(len(req.body))
	if len(req.body) == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(req.budget.Milliseconds()))
	for name, value := range req.header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }() // was read
	data, err := io.ReadAll(resp.Body)
	res.status, res.body, res.complete, res.err = resp.StatusCode, string(data), err == nil, err
	res.leaving = resp.Header.Get("Server-Leaving") != ""
	return res
}

// all returns the results so far.
func (q *requesters) all() []result {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]result(nil), q.results...)
}

// entryOf returns the name of the entry to which a request was sent.
func entryOf(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return name
}

// every calls f at an interval until the time is up or stop is closed.
func every(interval, length time.Duration, f func(n int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.After(length)
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
			f(n)
		}
	}
}
