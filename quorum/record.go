package quorum

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// record is the payload of one framed record of the log file.
type record struct {
	Hard    *HardState `msgpack:"hard,omitempty"`
	Entries []Entry    `msgpack:"entries,omitempty"`
}

func (s *Store) frame(w *bytes.Buffer, v any) error {
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	s.seq++
	writeRecord(w, s.seq, payload)
	return nil
}

func writeRecord(w *bytes.Buffer, seq uint64, payload []byte) {
	var header [recordHeader]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.BigEndian.PutUint64(header[8:], seq)
	sum := crc32.Update(crc32.Checksum(header[8:], castagnoli), castagnoli, payload)
	binary.BigEndian.PutUint32(header[4:], sum)
	w.Write(header[:])
	w.Write(payload)
}

// readRecord returns the record at the start of b, or ok false.
func readRecord(b []byte) (seq uint64, payload []byte, ok bool) {
	if len(b) < recordHeader {
		return 0, nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxRecord || recordHeader+n > len(b) {
		return 0, nil, false
	}
	payload = b[recordHeader : recordHeader+n]
	sum := crc32.Update(crc32.Checksum(b[8:recordHeader], castagnoli), castagnoli, payload)
	if sum != binary.BigEndian.Uint32(b[4:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(b[8:]), payload, true
}

// scan reads records until the first bad one and returns its position. A bad
// record that good ones follow is damage, not a torn write.
func (s *Store) scan(path string, data []byte) (int64, error) {
	at := 0
	for at < len(data) {
		seq, payload, ok := readRecord(data[at:])
		if !ok || seq != s.seq+1 {
			if next, found := laterRecord(data, at+1, s.seq); found {
				return 0, fault.New(fault.Corrupt, "%s: damaged at byte %d, good again at byte %d", path, at, next)
			}
			return int64(at), nil
		}
		if err := s.load(path, at, payload); err != nil {
			return 0, err
		}
		s.seq = seq
		at += recordHeader + len(payload)
	}
	return int64(at), nil
}

// laterRecord looks for a good record of a later sequence at or after byte from.
func laterRecord(data []byte, from int, seq uint64) (int, bool) {
	for at := from; at+recordHeader <= len(data); at++ {
		n := int(binary.BigEndian.Uint32(data[at:]))
		later := binary.BigEndian.Uint64(data[at+8:])
		if n == 0 || at+recordHeader+n > len(data) || later <= seq || later > seq+uint64(len(data)) {
			continue
		}
		if _, _, ok := readRecord(data[at:]); ok {
			return at, true
		}
	}
	return 0, false
}

func (s *Store) load(path string, at int, payload []byte) error {
	var r record
	if err := msgpack.Unmarshal(payload, &r); err != nil {
		return fault.New(fault.Corrupt, "%s: record at byte %d: %v", path, at, err)
	}
	if r.Hard != nil {
		s.stored.Hard = *r.Hard
	}
	if len(r.Entries) == 0 {
		return nil
	}
	kept, ok := spliceEntries(s.stored.Entries, r.Entries)
	if !ok {
		return fault.New(fault.Corrupt, "%s: record at byte %d leaves a gap before entry %d", path, at, r.Entries[0].Index)
	}
	s.stored.Entries = kept
	return nil
}

// spliceEntries replaces the entries from add[0].Index on.
func spliceEntries(entries, add []Entry) ([]Entry, bool) {
	if len(entries) == 0 {
		return add[:len(add):len(add)], true
	}
	first := entries[0].Index
	if add[0].Index <= first {
		return add[:len(add):len(add)], true
	}
	keep := add[0].Index - first
	if keep > Index(len(entries)) {
		return nil, false
	}
	return append(entries[:keep], add...), true
}
