package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/quorum"
)

// bodies returns one message of each kind.
func bodies() []Body {
	var all []Body
	for k := kindHello; newBody(k) != nil; k++ {
		all = append(all, newBody(k))
	}
	return append(all, &Quorum{Message: quorum.Message{From: "d1", To: "d2", Term: 3, Append: &quorum.Append{Prev: 7, Entries: []quorum.Entry{{Index: 8, Term: 3, Data: []byte("x")}}}}})
}

func TestEveryKindSurvives(t *testing.T) {
	for _, b := range bodies() {
		frame, err := (Envelope{CallID: 9, Reply: true, Body: b}).Encode()
		if err != nil {
			t.Fatalf("%T: %v", b, err)
		}
		payload, err := ReadFrame(bytes.NewReader(frame), MaxFrame)
		if err != nil {
			t.Fatalf("%T: %v", b, err)
		}
		e, err := Decode(payload)
		if err != nil || e.CallID != 9 || !e.Reply {
			t.Fatalf("%T: %+v %v", b, e, err)
		}
		again, _ := e.Encode()
		if !bytes.Equal(again, frame) {
			t.Errorf("%T changed by encoding and decoding", b)
		}
	}
}

func TestBadFrames(t *testing.T) {
	good, err := (Envelope{Body: &Hello{Instance: "i1"}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(b []byte) []byte{
		"magic":       func(b []byte) []byte { b[0] = 0; return b },
		"old version": func(b []byte) []byte { b[2] = Version - 1; return b },
		"reserved":    func(b []byte) []byte { b[3] = 1; return b },
		"too long":    func(b []byte) []byte { b[4] = 0xff; return b },
		"checksum":    func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
	} {
		t.Run(name, func(t *testing.T) {
			frame := damage(append([]byte(nil), good...))
			if _, err := ReadFrame(bytes.NewReader(frame), MaxFrame); !fault.Is(err, fault.FrameInvalid) {
				t.Errorf("got %v", err)
			}
		})
	}
	if _, err := ReadFrame(bytes.NewReader(good[:len(good)-1]), MaxFrame); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut frame: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(nil), MaxFrame); !errors.Is(err, io.EOF) {
		t.Errorf("clean end: %v", err)
	}
}

func FuzzFrame(f *testing.F) {
	for _, b := range bodies() {
		frame, err := (Envelope{CallID: 1, Body: b}).Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := ReadFrame(bytes.NewReader(data), MaxHello)
		if err != nil {
			return
		}
		e, err := Decode(payload)
		if err != nil {
			return
		}
		if _, err := e.Encode(); err != nil {
			t.Errorf("decoded %T does not encode: %v", e.Body, err)
		}
	})
}
