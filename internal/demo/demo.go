// Package demo runs one instance with fake engines and a fake desk in one process,
// sends a handful of requests and shows what came back.
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
	engines   = 3
	desks     = 2
	speed     = 4 // of the fake engines, against real ones
	readyTime = 10 * time.Second
	anyPort   = "127.0.0.1:0"
	tenant    = "tobago"
)

// session is a demo in progress.
type session struct {
	w       io.Writer
	in      *instance.Instance
	desks   []*standin.Service
	callers string
	control string
}

// Run starts everything, sends the requests and stops, or serves on until ctx
// ends if keep is set.
func Run(ctx context.Context, w io.Writer, keep bool) error {
	began := time.Now()
	folder, err := os.MkdirTemp("", "hickoryridge-demo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder
	in, err := instance.New(&settings.Settings{
		Instance: "demo", Region: "north", Domain: "north-a",
		Callers: anyPort, Control: anyPort, Peer: anyPort, Data: folder,
	}, cli.Logger(io.Discard, "error"))
	if err != nil {
		return err
	}
	s := &session{w: w, in: in, callers: "http://" + in.CallersAddr(), control: "http://" + in.ControlAddr()}
	g := task.New(ctx)
	g.Go("instance", in.Run)
	if err := s.startTargets(g); err != nil {
		g.Stop()
		_ = g.Wait() // the first error counts
		return err
	}
	g.Go("session", func(ctx context.Context) error {
		defer g.Stop()
		return s.play(ctx, began, keep)
	})
	return g.Wait()
}

func (s *session) startTargets(g *task.Group) error {
	for i := range engines {
		e, err := standin.StartEngine(anyPort, standin.EngineConfig{
			Model: "advisor-model", Version: "v1", Role: desired.RoleMixed, Rates: standin.DefaultRates(), Speed: speed, Fencing: true,
		})
		if err != nil {
			return err
		}
		s.announce(g, &standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("engine-", i+1)), Service: "darkroom-advisor", Address: e.Addr(),
			Incarnation: e.Incarnation(), Engine: e,
		}, e.Close)
	}
	for i := range desks {
		d, err := standin.StartService(anyPort)
		if err != nil {
			return err
		}
		s.desks = append(s.desks, d)
		s.announce(g, &standin.Announcer{
			Target: ident.TargetID(fmt.Sprint("desk-", i+1)), Service: "desk", Address: d.Addr(), Incarnation: 1,
		}, d.Close)
	}
	return nil
}

func (s *session) announce(g *task.Group, a *standin.Announcer, end func()) {
	a.Region, a.Domain = "north", "north-a"
	a.Controls = []string{s.in.ControlAddr()}
	g.Go("target", func(ctx context.Context) error {
		a.Run(ctx)
		end()
		return nil
	})
}

func (s *session) print(format string, args ...any) { _, _ = fmt.Fprintf(s.w, format, args...) }

func (s *session) play(ctx context.Context, began time.Time, keep bool) error {
	if err := s.apply(ctx); err != nil {
		return err
	}
	sheet := strings.Repeat("roll 17, pushed two stops, taken in the rain at Maracas, no flash; ", 400)
	steps := []struct {
		title string
		run   func() (string, error)
	}{
		{"a short question, streamed", func() (string, error) { return s.chat(ctx, "Has roll 17 arrived?", 12) }},
		{"a long order sheet", func() (string, error) { return s.chat(ctx, sheet+"Which chemistry?", 24) }},
		{"the same sheet with another question (its prefix is cached)", func() (string, error) { return s.chat(ctx, sheet+"Which push?", 24) }},
		{"a postage lookup", func() (string, error) { return s.desk(ctx, http.MethodGet, "/postage/TT-17", "", "") }},
		{"a payment", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":250}`) }},
		{"the same payment again", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":250}`) }},
		{"another payment under the same key", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "pay-17", `{"amount":999}`) }},
		{"a payment without a key", func() (string, error) { return s.desk(ctx, http.MethodPost, "/payments", "", `{"amount":250}`) }},
	}
	for i, step := range steps {
		sent := time.Now()
		text, err := step.run()
		if err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
		s.print("%d. %s (%v)\n   %s\n", i+1, step.title, time.Since(sent).Round(time.Millisecond), text)
		if i == 0 {
			s.print("   first answer %v after the start\n", time.Since(began).Round(time.Millisecond))
		}
	}
	runs := 0
	for _, d := range s.desks {
		runs += d.RunsOf("pay-17")
	}
	s.print("\nthe desk ran payment pay-17 %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("payment pay-17 ran %d times", runs)
	}
	if err := s.histograms(ctx); err != nil {
		return err
	}
	if keep {
		s.serveOn(ctx)
	}
	return nil
}

// apply waits for the instance and applies the Association's document.
func (s *session) apply(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	select {
	case <-s.in.Ready():
	case <-ctx.Done():
		return fmt.Errorf("the instance is not ready after %v", readyTime)
	}
	status, body, err := s.do(ctx, http.MethodPut, s.control+"/v1/desired", nil, examples.Association)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("apply: status %d: %s", status, body)
	}
	s.print("document applied: %s\n", bytes.TrimSpace(body))
	for ctx.Err() == nil {
		if ready, err := s.targetsReady(ctx); err == nil && ready {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the targets are not there after %v", readyTime)
}

func (s *session) targetsReady(ctx context.Context) (bool, error) {
	_, body, err := s.do(ctx, http.MethodGet, s.control+"/v1/targets", nil, nil)
	if err != nil {
		return false, err
	}
	var list []struct{ Usable bool }
	if err := json.Unmarshal(body, &list); err != nil {
		return false, err
	}
	return len(list) == engines+desks, nil
}

func (s *session) do(ctx context.Context, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("X-Tenant", tenant)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// chat asks the advisor and checks that the answer is whole and its own.
func (s *session) chat(ctx context.Context, question string, tokens int) (string, error) {
	messages := []engine.Message{{Role: "user", Content: question}}
	body, err := json.Marshal(map[string]any{"model": "advisor", "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return "", err
	}
	status, data, err := s.do(ctx, http.MethodPost, s.callers+"/v1/chat/completions", nil, body)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", status, data)
	}
	text, whole := ReadStream(data)
	want := standin.Text(string((&engine.Request{Messages: messages}).Prompt()), tokens)
	if !whole || text != want {
		return "", fmt.Errorf("answer %q is not %q", text, want)
	}
	return fmt.Sprintf("%d tokens, whole: %s", tokens, strings.TrimSpace(text)), nil
}

// ReadStream returns the text of a streamed answer and whether it is whole.
func ReadStream(data []byte) (text string, whole bool) {
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

func (s *session) desk(ctx context.Context, method, path, key, body string) (string, error) {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	status, data, err := s.do(ctx, method, s.callers+"/services/desk"+path, header, []byte(body))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d: %s", status, bytes.TrimSpace(data)), nil
}

// histograms prints the histograms of each tenant and class.
func (s *session) histograms(ctx context.Context) error {
	const flush = 1200 * time.Millisecond
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(flush):
	}
	_, body, err := s.do(ctx, http.MethodGet, s.control+"/metrics", nil, nil)
	if err != nil {
		return err
	}
	s.print("\nhistograms of the first token, by tenant and class (seconds):\n")
	for line := range strings.SplitSeq(string(body), "\n") {
		if strings.HasPrefix(line, "hickoryridge_first_bucket") || strings.HasPrefix(line, "hickoryridge_answered") {
			s.print("  %s\n", line)
		}
	}
	return nil
}

func (s *session) serveOn(ctx context.Context) {
	s.print("\nserving until interrupted; try:\n")
	s.print("  curl -N %s/v1/chat/completions -H 'X-Tenant: %s' -d '{\"model\":\"advisor\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Has roll 17 arrived?\"}]}'\n", s.callers, tenant)
	s.print("  curl %s/services/desk/payments -H 'X-Tenant: %s' -H 'Idempotency-Key: pay-18' -d '{\"amount\":1}'\n", s.callers, tenant)
	s.print("  curl %s/v1/status\n", s.control)
	<-ctx.Done()
}
