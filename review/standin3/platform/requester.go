package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// event is one event of a stream that a requester got.
type event struct{ id, data string }

// answer is what a requester got for one attempt.
type answer struct {
	status   int
	header   http.Header
	events   []event
	body     string
	complete bool // the answer ended as HTTP ends a complete one
	err      error
}

// ask sends one attempt on a connection of its own and reads the whole answer, at most until the budget ends.
func ask(addr, method, path, id string, header map[string]string, body string, budget time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = "lab.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		text, err := io.ReadAll(resp.Body)
		a.body, a.err, a.complete = string(text), err, err == nil
		return a
	}
	var e event
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "":
			a.events = append(a.events, e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
	return a
}

// promptHeaders are those of a short prompt of the pages' kinds of request.
func promptHeaders(n int) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Counts": "383,20", "X-Prompt-Prefix": fmt.Sprintf("aa01:55,bb%02x:37,cc%08x:291", n%64, n)}
}
