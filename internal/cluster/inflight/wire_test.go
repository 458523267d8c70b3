package inflight

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

// TestLoadBetweenVersions exchanges loads between this version and the previous one, which does not
// know failure counts.
func TestLoadBetweenVersions(t *testing.T) {
	type earlier struct{ Waiting ident.Tokens }
	for name, test := range map[string]struct {
		load     Load
		readable bool // by the previous version
	}{
		"nothing":  {Load{}, true},
		"waiting":  {Load{Waiting: 17000}, true},
		"answered": {Load{Waiting: 17000, Answered: CountOf(2.5)}, true},
		"failed":   {Load{Waiting: 17000, Answered: CountOf(2.5), Failed: CountOf(1)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			want := test.load
			if want.Failed == 0 {
				want.Answered = 0
			}
			var got Load
			if err := msgpack.Unmarshal(encoded(t, test.load), &got); err != nil || got != want {
				t.Errorf("decoded %+v, want %+v: %v", got, want, err)
			}
			var old earlier
			err := msgpack.Unmarshal(encoded(t, test.load), &old)
			if (err == nil) != test.readable || test.readable && old.Waiting != test.load.Waiting {
				t.Errorf("the previous version decodes %+v: %v", old, err)
			}
			if !test.readable {
				return
			}
			if err := msgpack.Unmarshal(encoded(t, old), &got); err != nil || got.Waiting != test.load.Waiting {
				t.Errorf("decoded %+v from the previous version: %v", got, err)
			}
		})
	}
	if err := msgpack.Unmarshal([]byte{0x92, 1, 2}, &Load{}); err == nil {
		t.Error("decoded a load of two fields, want an error")
	}
}

// encoded encodes a value as it is sent between instances.
func encoded(t *testing.T, v any) []byte {
	t.Helper()
	var buf bytes.Buffer
	if err := fields.NewEncoder(&buf).Encode(v); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
