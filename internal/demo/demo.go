// Package demo runs one instance with fake engines and fake plain services in one
// process, sends it a few chat requests, lookups and payments, checks the answers and
// prints them with the metrics.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/engine"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/settings"
)

const (
	engineCount   = 3
	deskCount     = 2
	engineSpeed   = 4 // factor by which the fake engines run faster than real time
	readyTimeout  = 10 * time.Second
	ephemeralAddr = "127.0.0.1:0"
	demoTenant    = "tobago"
)

// session is a running demo.
type session struct {
	w          io.Writer
	instance   *instance.Instance
	desks      []*standin.Service
	callersURL string
	controlURL string
}

// Run starts the instance and its targets, applies the Association's document, sends the
// requests and stops. If keep is set, it continues to serve until ctx ends. It returns an
// error if an answer is incomplete or not the expected one, or if the payment does not run
// exactly once.
func Run(ctx context.Context, w io.Writer, keep bool) error {
	began := time.Now()
	folder, err := os.MkdirTemp("", "hickoryridge-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // best effort: it is a temporary folder
	in, err := instance.New(&settings.Settings{
		Instance: "demo", Region: "north", Domain: "north-a",
		Callers: ephemeralAddr, Control: ephemeralAddr, Peer: ephemeralAddr, Data: folder,
		Routing: settings.Routing{Permits: true, Facts: true},
	}, cli.Logger(io.Discard, "error"))
	if err != nil {
		return err
	}
	s := &session{w: w, instance: in, callersURL: "http://" + in.CallersAddr(), controlURL: "http://" + in.ControlAddr()}
	g := task.New(ctx)
	g.Go("instance", in.Run)
	if err := s.startTargets(g); err != nil {
		g.Stop()
		_ = g.Wait() // the error of startTargets is the cause
		return err
	}
	g.Go("session", func(ctx context.Context) error {
		defer g.Stop()
		return s.sendRequests(ctx, began, keep)
	})
	return g.Wait()
}

// startTargets starts the fake engines and plain services and announces them.
func (s *session) startTargets(g *task.Group) error {
	for i := range engineCount {
		e, err := standin.StartEngine(ephemeralAddr, standin.EngineConfig{
			Model: "advisor-model", Version: "v1", Role: desired.RoleMixed, Rates: standin.DefaultRates(), Speed: engineSpeed, Fencing: true,
		})
		if err != nil {
			return err
		}
		s.startAnnouncer(g, &standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("engine-", i+1)), Service: "darkroom-advisor", Address: e.Addr(),
			Incarnation: e.Incarnation(), Engine: e,
		}, e.Close)
	}
	for i := range deskCount {
		d, err := standin.StartService(ephemeralAddr)
		if err != nil {
			return err
		}
		s.desks = append(s.desks, d)
		s.startAnnouncer(g, &standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("desk-", i+1)), Service: "desk", Address: d.Addr(), Incarnation: 1,
		}, d.Close)
	}
	return nil
}

// startAnnouncer announces a target until g stops and then calls end.
func (s *session) startAnnouncer(g *task.Group, a *standin.Announcer, end func()) {
	a.Region, a.Domain = "north", "north-a"
	a.Controls = []string{s.instance.ControlAddr()}
	g.Go("target", func(ctx context.Context) error {
		a.Run(ctx)
		end()
		return nil
	})
}

func (s *session) print(format string, args ...any) { _, _ = fmt.Fprintf(s.w, format, args...) }

// sendRequests applies the document, sends the requests one by one and prints the results.
func (s *session) sendRequests(ctx context.Context, began time.Time, keep bool) error {
	if err := s.applyDocument(ctx); err != nil {
		return err
	}
	sheet := strings.Repeat("roll 17, pushed two stops, taken in the rain at Maracas, no flash; ", 400)
	steps := []struct {
		title string
		run   func() (string, error)
	}{
		{"a short prompt, streamed", func() (string, error) { return s.chat(ctx, "Has roll 17 arrived?", 12) }},
		{"a long prompt: an order sheet", func() (string, error) { return s.chat(ctx, sheet+"Which chemistry?", 24) }},
		{"the same sheet with another question (the prefix is cached)", func() (string, error) { return s.chat(ctx, sheet+"Which push?", 24) }},
		{"a postage lookup", func() (string, error) { return s.desk(ctx, http.MethodGet, "/postage/TT-17", "", "") }},
		{"a payment", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":250}`) }},
		{"the same payment again", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":250}`) }},
		{"another payment under the same idempotency key", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":999}`) }},
		{"a payment without an idempotency key", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "", `{"amount":250}`) }},
	}
	for i, step := range steps {
		sent := time.Now()
		text, err := step.run()
		if err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
		s.print("%d. %s (%v)\n   %s\n", i+1, step.title, time.Since(sent).Round(time.Millisecond), text)
		if i == 0 {
			s.print("   first answer complete %v after the start\n", time.Since(began).Round(time.Millisecond))
		}
	}
	runs := 0
	for _, d := range s.desks {
		runs += d.RunCount("pay-17")
	}
	s.print("\nthe desk ran payment pay-17 %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("payment pay-17 ran %d times, want once", runs)
	}
	if err := s.printMetrics(ctx); err != nil {
		return err
	}
	if keep {
		s.serveUntilDone(ctx)
	}
	return nil
}

// applyDocument waits until the instance is ready, applies the Association's document and
// waits until the instance lists every target.
func (s *session) applyDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case <-s.instance.Ready():
	case <-ctx.Done():
		return fmt.Errorf("instance is not ready after %v", readyTimeout)
	}
	status, body, err := s.roundTrip(ctx, http.MethodPut, s.controlURL+"/v1/desired", nil, examples.Association)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("apply document: status %d: %s", status, body)
	}
	s.print("document applied: %s\n", bytes.TrimSpace(body))
	for ctx.Err() == nil {
		if ready, err := s.targetsListed(ctx); err == nil && ready {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("instance does not list all targets after %v", readyTimeout)
}

// targetsListed reports whether the instance lists every target.
func (s *session) targetsListed(ctx context.Context) (bool, error) {
	_, body, err := s.roundTrip(ctx, http.MethodGet, s.controlURL+"/v1/targets", nil, nil)
	if err != nil {
		return false, err
	}
	var list []struct{ Usable bool }
	if err := json.Unmarshal(body, &list); err != nil {
		return false, err
	}
	return len(list) == engineCount+deskCount, nil
}

// roundTrip sends one HTTP request of the demo's tenant and returns the status and body of
// the response.
func (s *session) roundTrip(ctx context.Context, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("X-Tenant", demoTenant)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// chat sends a chat request to the advisor and checks that the answer is complete and
// belongs to the question.
func (s *session) chat(ctx context.Context, question string, tokens int) (string, error) {
	messages := []engine.Message{{Role: "user", Content: question}}
	body, err := json.Marshal(map[string]any{"model": "advisor", "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return "", err
	}
	status, data, err := s.roundTrip(ctx, http.MethodPost, s.callersURL+"/v1/chat/completions", nil, body)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", status, data)
	}
	text, complete := ReadStream(data)
	want := standin.AnswerText(string((&engine.Request{Messages: messages}).Prompt()), tokens)
	if !complete || text != want {
		return "", fmt.Errorf("answer is %q, want %q", text, want)
	}
	return fmt.Sprintf("%d tokens, complete: %s", tokens, strings.TrimSpace(text)), nil
}

// ReadStream returns the text of a streamed answer. The answer is complete if the stream
// has its end marker.
func ReadStream(data []byte) (text string, complete bool) {
	var b strings.Builder
	for line := range strings.SplitSeq(string(data), "\n") {
		event, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "[DONE]" {
			return b.String(), true
		}
		var c engine.Chunk
		if json.Unmarshal([]byte(event), &c) == nil && len(c.Choices) == 1 {
			b.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return b.String(), false
}

// desk sends a request to the plain service desk. An empty key sends no idempotency key.
func (s *session) desk(ctx context.Context, method, path, key, body string) (string, error) {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	status, data, err := s.roundTrip(ctx, method, s.callersURL+"/services/desk"+path, header, []byte(body))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data)), nil
}

// printMetrics prints the request counters and the histograms of the time to the first
// token, by tenant and class.
func (s *session) printMetrics(ctx context.Context) error {
	// updateDelay is longer than the intervals at which counters and gauges are updated.
	const updateDelay = 1200 * time.Millisecond
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(updateDelay):
	}
	_, body, err := s.roundTrip(ctx, http.MethodGet, s.controlURL+"/metrics", nil, nil)
	if err != nil {
		return err
	}
	s.print("\nhistograms of the time to the first token, by tenant and class (seconds):\n")
	for line := range strings.SplitSeq(string(body), "\n") {
		if strings.HasPrefix(line, "hickoryridge_first_bucket") || strings.HasPrefix(line, "hickoryridge_answered") {
			s.print("  %s\n", line)
		}
	}
	return nil
}

// serveUntilDone prints sample commands and waits until ctx ends.
func (s *session) serveUntilDone(ctx context.Context) {
	s.print("\nserving until interrupted; try:\n")
	s.print("  curl -N %s/v1/chat/completions -H 'X-Tenant: %s' -d '{\"model\":\"advisor\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Has roll 17 arrived?\"}]}'\n", s.callersURL, demoTenant)
	s.print("  curl %s/services/desk/payments -H 'X-Tenant: %s' -H 'Idempotency-Key: pay-18' -d '{\"amount\":1}'\n", s.callersURL, demoTenant)
	s.print("  curl %s/v1/status\n", s.controlURL)
	<-ctx.Done()
}
