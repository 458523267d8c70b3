package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// Target is the deployment that receives the load.
type Target struct {
	CallerURLs  []string // base URLs of the instances' caller listeners, used round robin
	Model       string
	Service     string   // name of the plain service
	LookupPath  string   // path prefix of lookups, with a trailing slash
	ServiceURLs []string // base URLs of fake services, which report the requests that they ran
}

// requestTimeout bounds one request, including its body.
const requestTimeout = 2 * time.Minute

// runner is a load in progress.
type runner struct {
	target    Target
	spec      Spec
	client    *http.Client
	report    *Report
	completed atomic.Int64
	mu        sync.Mutex
}

// outcome is the result of one request.
type outcome struct {
	first    time.Duration   // time to the first token or the plain response; 0 if there was none
	between  []time.Duration // times between tokens
	code     string          // "ok" or the error code
	mismatch string          // how the answer differs from the expected one; empty if it matches
}

// Run sends the load and returns its report. It prints a progress line to w every second.
// If ctx ends, Run reports on the requests that it has sent.
func Run(ctx context.Context, w io.Writer, t Target, s Spec) *Report {
	r := &runner{
		target: t, spec: s, report: newReport(s),
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	items := Plan(s)
	began := time.Now()
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	var wg sync.WaitGroup
	for i, item := range items {
		due := began.Add(item.At)
		for wait := time.Until(due); wait > 0; wait = time.Until(due) {
			select {
			case <-ctx.Done():
				wg.Wait()
				return r.finishReport()
			case <-progress.C:
				fmt.Fprintf(w, "%v: %d of %d sent, %d completed\n", time.Since(began).Round(time.Second), i, len(items), r.completed.Load())
			case <-time.After(wait):
			}
		}
		wg.Go(func() {
			r.send(ctx, i, item, due)
			r.completed.Add(1)
		})
	}
	wg.Wait()
	return r.finishReport()
}

// send sends one request and records its outcome. Latencies count from due.
func (r *runner) send(ctx context.Context, i int, item Item, due time.Time) {
	base := r.target.CallerURLs[i%len(r.target.CallerURLs)]
	var o outcome
	switch item.Kind {
	case Short, Long:
		o = r.sendChat(ctx, base, item, due)
	default:
		o = r.sendPlain(ctx, base, item, due)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(item, o)
}

// roundTrip sends one HTTP request. An empty key sends no idempotency key.
func (r *runner) roundTrip(ctx context.Context, method, url, tenant, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Tenant", tenant)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return r.client.Do(req)
}

// sendChat sends a chat request and compares the streamed answer with the expected text.
func (r *runner) sendChat(ctx context.Context, base string, item Item, due time.Time) outcome {
	messages := []engine.Message{{Role: "user", Content: item.Text}}
	body, err := json.Marshal(map[string]any{
		"model": r.target.Model, "messages": messages, "max_tokens": r.spec.Tokens, "stream": true,
	})
	if err != nil {
		return outcome{code: "internal", mismatch: err.Error()}
	}
	resp, err := r.roundTrip(ctx, http.MethodPost, base+"/v1/chat/completions", item.Tenant, "", body)
	if err != nil {
		return outcome{code: "connection"}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if resp.StatusCode != http.StatusOK {
		return outcome{code: errorCodeOf(resp)}
	}
	o, text, complete := readStream(resp.Body, due)
	want := standin.AnswerText(string((&engine.Request{Messages: messages}).Prompt()), r.spec.Tokens)
	switch {
	case !complete:
		o.code = "broken_off"
	case text != want:
		o.mismatch = fmt.Sprintf("answer is %q, want %q", text, want)
	}
	return o
}

// readStream reads a streamed answer and the arrival times of its tokens. The answer is
// complete if the stream has its end marker.
func readStream(body io.Reader, due time.Time) (o outcome, text string, complete bool) {
	o.code = "ok"
	var b strings.Builder
	var last time.Time
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return o, b.String(), true
		}
		var c engine.Chunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 || c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			o.first = now.Sub(due)
		} else {
			o.between = append(o.between, now.Sub(last))
		}
		last = now
		b.WriteString(c.Choices[0].Delta.Content)
	}
	return o, b.String(), false
}

// sendPlain sends a lookup or a payment to the plain service.
func (r *runner) sendPlain(ctx context.Context, base string, item Item, due time.Time) outcome {
	url := base + "/services/" + r.target.Service
	method, key, body := http.MethodGet, "", []byte(nil)
	if item.Kind == Payment {
		url += "/payments"
		method, key, body = http.MethodPost, item.Text, []byte(`{"amount":1}`)
	} else {
		url += r.target.LookupPath + item.Text
	}
	resp, err := r.roundTrip(ctx, method, url, item.Tenant, key, body)
	if err != nil {
		return outcome{code: "connection"}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	if resp.StatusCode >= http.StatusBadRequest {
		return outcome{code: errorCodeOf(resp)}
	}
	data, err := io.ReadAll(resp.Body)
	o := outcome{first: time.Since(due), code: "ok"}
	if err != nil {
		o.code = "broken_off"
	}
	if item.Kind == Lookup && !bytes.Contains(data, []byte(item.Text)) {
		o.mismatch = fmt.Sprintf("response to the lookup of %s is %s", item.Text, data)
	}
	return o
}

// errorCodeOf returns the error code of an error response, or its status if it has no code.
func errorCodeOf(resp *http.Response) string {
	var f struct {
		Error struct{ Code string }
	}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if json.Unmarshal(data, &f) != nil || f.Error.Code == "" {
		return fmt.Sprint("status_", resp.StatusCode)
	}
	return f.Error.Code
}

// finishReport counts the payments that the fake services ran more than once. A service
// that does not reply makes the load fail, since its payments can't be counted.
func (r *runner) finishReport() *Report {
	counts := map[string]int{}
	for _, base := range r.target.ServiceURLs {
		resp, err := r.client.Get(base + "/ran")
		if err != nil {
			r.report.Unknown = append(r.report.Unknown, base+": "+err.Error())
			continue
		}
		var runs []standin.RunRecord
		if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
			r.report.Unknown = append(r.report.Unknown, base+": "+err.Error())
		}
		_ = resp.Body.Close() // the body has been decoded
		for _, run := range runs {
			counts[run.Key]++
		}
	}
	for _, n := range counts {
		if n > 1 {
			r.report.Duplicated++
		}
	}
	r.report.close()
	return r.report
}
