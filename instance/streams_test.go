package instance

import (
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/peer"
)

// TestStreamTakenUpOutOfStep guards against a stream that goes on at another software version, because the
// voters that an instance reaches are cut off, and know neither the stream nor the targets that began it.
func TestStreamTakenUpOutOfStep(t *testing.T) {
	v1, v2 := stream.Origin{Service: "s", Software: "v1"}, stream.Origin{Service: "s", Software: "v2"}
	sole := findResult{found: &peer.StreamFound{Sole: true, Origin: v1}}
	several := findResult{found: &peer.StreamFound{Several: true}}
	nothing := findResult{found: &peer.StreamFound{}}
	known := findResult{found: &peer.StreamFound{Known: true, Origin: v2}}
	lost := findResult{err: fault.New(fault.NoQuorum, "no reply")}
	for name, test := range map[string]struct {
		all    []findResult
		origin stream.Origin
		known  bool
		failed bool
	}{
		"all voters know one version":                {[]findResult{sole, sole, sole}, v1, true, false},
		"one has just started":                       {[]findResult{sole, nothing, sole}, v1, true, false},
		"one has the record":                         {[]findResult{sole, known, lost}, v2, true, false},
		"one knows several versions":                 {[]findResult{sole, several, sole}, stream.Origin{}, false, false},
		"one of another region does not reply":       {[]findResult{sole, lost, sole}, stream.Origin{}, false, true},
		"only the voter that is cut off too replies": {[]findResult{lost, sole, lost}, stream.Origin{}, false, true},
		"no voter replies":                           {[]findResult{lost, lost, lost}, stream.Origin{}, false, true},
		"no voter is known":                          {nil, stream.Origin{}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			origin, known, err := originOf(test.all)
			if origin != test.origin || known != test.known || (err != nil) != test.failed {
				t.Errorf("origin %+v, known %v, error %v, want %+v, %v, failed %v", origin, known, err, test.origin, test.known, test.failed)
			}
		})
	}
}
