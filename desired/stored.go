package desired

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Load pattern: operators change documents of several hundred routes a few times in a second, and
// each change goes into every voter's log and to every instance. Documents are repetitive, so
// that they are compressed once, where they are accepted.

// gzipMark is what compressed documents begin with. Logs of earlier versions hold plain ones.
var gzipMark = []byte{0x1f, 0x8b}

// maxStored bounds a document in its canonical form, in bytes. One that was translated holds
// its origin as well.
const maxStored = 4 * MaxBytes

// Pack returns the form in which a document is stored and sent between instances, and the
// digest of its canonical form.
func (d *Document) Pack() ([]byte, ident.Digest, error) {
	data, digest, err := d.Encode()
	if err != nil {
		return nil, "", err
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, "", fault.Wrap(fault.Internal, err)
	}
	return packed.Bytes(), digest, nil
}

// Unpack returns the canonical form of a stored document.
func Unpack(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMark) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, fault.Wrap(fault.Corrupt, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStored+1))
	if err != nil {
		return nil, fault.Wrap(fault.Corrupt, err)
	}
	if len(data) > maxStored {
		return nil, fault.New(fault.Corrupt, "stored document of more than %d bytes", maxStored)
	}
	return data, nil
}

// ParseStored decodes a document that was accepted before.
func ParseStored(stored []byte) (*Document, error) {
	data, err := Unpack(stored)
	if err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fault.Wrap(fault.Corrupt, err)
	}
	return &d, nil
}
