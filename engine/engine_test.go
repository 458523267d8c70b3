package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
)

func chunk(id string, offset int, text string, finish string) Chunk {
	c := Chunk{ID: id, Offset: &offset, Choices: []Choice{{Delta: Delta{Content: text}}}}
	if finish != "" {
		c.Choices[0].Finish = &finish
	}
	return c
}

// TestAnswer adds chunks in the orders that failures produce.
func TestAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		chunks   []Chunk
		want     string
		complete bool
		failed   bool
	}{
		"complete":      {[]Chunk{chunk("a", 0, "x", ""), chunk("a", 1, "y", "length")}, "xy", true, false},
		"duplicated":    {[]Chunk{chunk("a", 0, "x", ""), chunk("a", 0, "x", ""), chunk("a", 1, "y", "stop")}, "xy", true, false},
		"other attempt": {[]Chunk{chunk("a", 0, "x", ""), chunk("b", 1, "y", "stop")}, "x", false, true},
		"gap":           {[]Chunk{chunk("a", 0, "x", ""), chunk("a", 2, "y", "stop")}, "x", false, true},
		"after the end": {[]Chunk{chunk("a", 0, "x", "stop"), chunk("a", 1, "y", "")}, "x", false, true},
		"truncated":     {[]Chunk{chunk("a", 0, "x", "")}, "x", false, true},
		"no choices":    {[]Chunk{{ID: "a"}}, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var a Answer
			a.BeginAttempt("a")
			var err error
			for _, c := range test.chunks {
				if _, err = a.AddChunk(c); err != nil {
					break
				}
			}
			if err == nil {
				err = a.HandleEnd()
			}
			if a.Text() != test.want || a.Done() != test.complete || (err != nil) != test.failed {
				t.Errorf("%q complete=%v err=%v", a.Text(), a.Done(), err)
			}
		})
	}
}

// TestAnswerContinues continues an answer at another engine and checks that late chunks of the
// first engine are rejected.
func TestAnswerContinues(t *testing.T) {
	var a Answer
	a.BeginAttempt("a")
	if _, err := a.AddChunk(chunk("a", 0, "x", "")); err != nil {
		t.Fatal(err)
	}
	a.BeginAttempt("b")
	if _, err := a.AddChunk(chunk("a", 1, "late", "")); !fault.Is(err, fault.TargetFailed) {
		t.Errorf("late chunk: %v", err)
	}
	if fresh, err := a.AddChunk(chunk("b", 1, "y", "stop")); err != nil || !fresh {
		t.Errorf("chunk that continues the answer: %v", err)
	}
	if a.Text() != "xy" {
		t.Errorf("text %q", a.Text())
	}
}

// TestParseRequestKeepsUnknownFields checks that unrecognized fields reach the engine, that a
// continued answer is requested with the remaining token limit, and that invalid requests are
// rejected.
func TestParseRequestKeepsUnknownFields(t *testing.T) {
	r, err := ParseRequest([]byte(`{"model":"m","messages":[{"role":"user","content":"q"}],"temperature":0.5,"max_tokens":7}`))
	if err != nil {
		t.Fatal(err)
	}
	body, err := Call{Attempt: "a", Request: r, Prefix: "x", Offset: 2}.encode()
	if err != nil {
		t.Fatal(err)
	}
	var sent map[string]any
	if err := json.Unmarshal(body, &sent); err != nil {
		t.Fatal(err)
	}
	if sent["temperature"] != 0.5 || sent["max_tokens"] != 5.0 || sent["continue_final_message"] != true {
		t.Errorf("request to the engine lacks a field or has a wrong value: %s", body)
	}
	for _, bad := range []string{``, `{}`, `{"model":"m"}`, `{"model":7,"messages":[]}`, `{"model":"m","messages":[{"role":"u","content":"q"}],"max_tokens":-1}`} {
		if _, err := ParseRequest([]byte(bad)); !fault.Is(err, fault.BadRequest) {
			t.Errorf("request %s: got error %v", bad, err)
		}
	}
}

// TestOrderNeedsAuthority revokes the sender's authority while an order is being sent, and checks
// that the engine does not receive the order's last byte.
func TestOrderNeedsAuthority(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	got := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		data, _ := io.ReadAll(c)
		got <- data
	}()
	err = SendOrder(context.Background(), l.Addr().String(), Order{ID: "o1", Fence: 9}, func() bool { return false })
	if !fault.Is(err, fault.NotLeader) || fault.ResponseOf(err).Ran != fault.RanNo {
		t.Errorf("got error %v, want one that says the order was withheld", err)
	}
	data := <-got
	_, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
	if len(body) == 0 || json.Valid(body) {
		t.Errorf("the engine got %q, want all but the last byte of an order", data)
	}
}
