package caller

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
)

// TestStreamBreaksOff guards against an error that is delivered in the middle of a stream, whose end then looks
// complete.
func TestStreamBreaksOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e := &eventWriter{w: w, flush: w.(http.Flusher)}
		if err := e.write("first"); err != nil {
			t.Error(err)
		}
		New(Config{}).abortStream(e, fault.New(fault.TargetFailed, "sorry"))
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil || !strings.HasPrefix(string(body), "data: \"first\"") || strings.Contains(string(body), "sorry") {
		t.Errorf("stream %q, error %v, want its event and an end that is not complete", body, err)
	}
}
