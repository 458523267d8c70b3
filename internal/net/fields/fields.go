// Package fields encodes structures that instances send each other as arrays of their fields.
//
// An instance of an earlier version refuses an array with more fields than it defines. Fields that were
// added later are therefore optional: they stand last and are left out where all of them are zero.
package fields

import (
	"io"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// NewEncoder returns an encoder of what instances send each other: structures as arrays, integers as short as
// they go.
func NewEncoder(w io.Writer) *msgpack.Encoder {
	enc := msgpack.NewEncoder(w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	return enc
}

// Encode encodes the fields of a structure, of which the last ones are optional.
func Encode(enc *msgpack.Encoder, optional int, fields ...any) error {
	n := len(fields)
	for optional > 0 && reflect.ValueOf(fields[n-1]).IsZero() {
		n--
		optional--
	}
	if err := enc.EncodeArrayLen(n); err != nil {
		return err
	}
	return enc.EncodeMulti(fields[:n]...)
}

// Decode decodes the fields of a structure into pointers. Optional fields that are missing stay as
// they are. It returns an error of kind fault.FrameInvalid for another number of fields.
func Decode(dec *msgpack.Decoder, optional int, fields ...any) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < len(fields)-optional || n > len(fields) {
		return fault.New(fault.FrameInvalid, "message has %d fields, want %d to %d", n, len(fields)-optional, len(fields))
	}
	return dec.DecodeMulti(fields[:n]...)
}
