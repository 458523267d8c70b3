package desired

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
)

// largeDocument returns a document with the given number of rules and with the text
// from which it was translated.
func largeDocument(rules int) *Document {
	d := &Document{Number: 1, Services: []Service{{Name: "s", Kind: KindPlain}}}
	for i := range rules {
		d.Forwards = append(d.Forwards, ForwardRule{
			Name: fmt.Sprint("r", i), Host: "h.example", Prefix: fmt.Sprintf("/a%d/", i), Retry: RetryFromStart,
			Timeout: Duration(2e9), Split: []WeightedService{{"s", 1}},
		})
	}
	origin, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	d.Origin = origin
	return d
}

// TestPackedDocument checks that packing shrinks a large document to at most an eighth
// of its size, and that packed documents and those of earlier versions are read back.
func TestPackedDocument(t *testing.T) {
	d := largeDocument(500)
	plain, digest, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	packed, same, err := d.Pack()
	if err != nil || same != digest {
		t.Fatalf("digest %s, want %s: %v", same, digest, err)
	}
	if len(packed) > len(plain)/8 {
		t.Errorf("packed size is %d bytes, more than an eighth of %d bytes", len(packed), len(plain))
	}
	for name, stored := range map[string][]byte{"packed": packed, "uncompressed, from an earlier version": plain} {
		back, err := ParseStored(stored)
		if err != nil || !reflect.DeepEqual(back, d) {
			t.Errorf("%s: error %v, or a document that differs from the original", name, err)
		}
	}
}

// TestDamagedDocument checks that truncated and modified documents are reported as
// corrupt.
func TestDamagedDocument(t *testing.T) {
	packed, _, err := largeDocument(5).Pack()
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Clone(packed)
	changed[len(changed)/2] ^= 0x55
	for name, stored := range map[string][]byte{
		"empty": {}, "magic number only": packed[:2], "cut short": packed[:len(packed)-9], "changed": changed,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseStored(stored); !fault.Is(err, fault.Corrupt) {
				t.Errorf("got error %v, want fault.Corrupt", err)
			}
		})
	}
}
