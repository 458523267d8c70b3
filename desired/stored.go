package desired

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Operators change documents of several hundred routes several times per second, and each
// change is written to every voter's log and sent to every instance. Documents are
// repetitive, so they are compressed once, where they are accepted.

// gzipMagic is the prefix of compressed documents. Logs written by earlier versions
// contain uncompressed ones.
var gzipMagic = []byte{0x1f, 0x8b}

// maxStoredBytes is the size limit of a document in its canonical form. It exceeds
// MaxBytes because a translated document contains its origin as well.
const maxStoredBytes = 4 * MaxBytes

// Pack returns the compressed form in which a document is stored and sent between
// instances, and the digest of its canonical form.
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

// Unpack returns the canonical form of a stored document. It returns a fault.Corrupt
// error if the document is damaged or larger than maxStoredBytes.
func Unpack(stored []byte) ([]byte, error) {
	if !bytes.HasPrefix(stored, gzipMagic) {
		return stored, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(stored))
	if err != nil {
		return nil, fault.Wrap(fault.Corrupt, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStoredBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.Corrupt, err)
	}
	if len(data) > maxStoredBytes {
		return nil, fault.New(fault.Corrupt, "stored document exceeds %d bytes", maxStoredBytes)
	}
	return data, nil
}

// ParseStored decodes a stored document. It does not validate it again.
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
