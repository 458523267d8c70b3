package desired

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
)

// large returns a document of some hundred rules, with the text that it was translated from.
func large(rules int) *Document {
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

// TestPackedDocument packs a large document, which is then a small part of its length, and
// reads it again.
func TestPackedDocument(t *testing.T) {
	d := large(500)
	plain, digest, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	packed, same, err := d.Pack()
	if err != nil || same != digest {
		t.Fatalf("digest %s, want %s: %v", same, digest, err)
	}
	if len(packed) > len(plain)/8 {
		t.Errorf("%d bytes packed, %d plain", len(packed), len(plain))
	}
	for name, stored := range map[string][]byte{"packed": packed, "plain, of an earlier version": plain} {
		back, err := ParseStored(stored)
		if err != nil || !reflect.DeepEqual(back, d) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestDamagedDocument reads packed documents that are cut short or changed.
func TestDamagedDocument(t *testing.T) {
	packed, _, err := large(5).Pack()
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Clone(packed)
	changed[len(changed)/2] ^= 0x55
	for name, stored := range map[string][]byte{
		"empty": {}, "mark only": packed[:2], "cut short": packed[:len(packed)-9], "changed": changed,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseStored(stored); !fault.Is(err, fault.Corrupt) {
				t.Errorf("%v", err)
			}
		})
	}
}
