package dispatch

import (
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/router"
)

// TestDigest shows what makes two requests the same one.
func TestDigest(t *testing.T) {
	request := func(change func(*ForwardRequest)) string {
		f := &ForwardRequest{ID: "1", Method: http.MethodPost, URI: "/a/b", Host: "h", Body: []byte("body"), Credential: "key", Parts: []router.Part{{ID: "x", Tokens: 1}}}
		change(f)
		return f.Digest()
	}
	first := request(func(*ForwardRequest) {})
	for name, test := range map[string]struct {
		change func(*ForwardRequest)
		same   bool
	}{
		"another attempt":      {func(f *ForwardRequest) { f.ID, f.Budget, f.LastEventID = "2", 5, "7" }, true},
		"another header":       {func(f *ForwardRequest) { f.Header = http.Header{"User-Agent": {"x"}} }, true},
		"another method":       {func(f *ForwardRequest) { f.Method = http.MethodPut }, false},
		"another host":         {func(f *ForwardRequest) { f.Host = "i" }, false},
		"another path":         {func(f *ForwardRequest) { f.URI = "/a/c" }, false},
		"another body":         {func(f *ForwardRequest) { f.Body = []byte("bodz") }, false},
		"no body":              {func(f *ForwardRequest) { f.Body = nil }, false},
		"another caller":       {func(f *ForwardRequest) { f.Credential = "kez" }, false},
		"another prompt":       {func(f *ForwardRequest) { f.Parts[0].ID = "y" }, false},
		"bytes between fields": {func(f *ForwardRequest) { f.URI, f.Host = "/a/bh", "" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := request(test.change); (got == first) != test.same {
				t.Errorf("digest %s, that of the first request %s, want the same: %v", got, first, test.same)
			}
		})
	}
}

// BenchmarkDigest shows what identifying a request with a body of 1 KB costs.
func BenchmarkDigest(b *testing.B) {
	f := &ForwardRequest{Method: http.MethodPost, URI: "/a/b", Host: "h", Body: make([]byte, 1000)}
	b.ReportAllocs()
	for b.Loop() {
		f.Digest()
	}
}
