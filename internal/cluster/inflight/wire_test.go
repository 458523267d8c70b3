package inflight

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/ident"
)

// TestLoadBetweenVersions sends loads to this version and to the one before, which knows nothing of failures.
func TestLoadBetweenVersions(t *testing.T) {
	type earlier struct{ Waiting ident.Tokens }
	for name, test := range map[string]struct {
		load     Load
		readable bool // by the version before
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
				t.Errorf("%+v, want %+v: %v", got, want, err)
			}
			var old earlier
			err := msgpack.Unmarshal(encoded(t, test.load), &old)
			if (err == nil) != test.readable || test.readable && old.Waiting != test.load.Waiting {
				t.Errorf("the version before reads %+v: %v", old, err)
			}
			if !test.readable {
				return
			}
			if err := msgpack.Unmarshal(encoded(t, old), &got); err != nil || got.Waiting != test.load.Waiting {
				t.Errorf("from the version before %+v: %v", got, err)
			}
		})
	}
	if err := msgpack.Unmarshal([]byte{0x92, 1, 2}, &Load{}); err == nil {
		t.Error("a load of two fields was read")
	}
}

// encoded packs a value as between instances.
func encoded(t *testing.T, v any) []byte {
	t.Helper()
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}
