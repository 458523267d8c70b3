package quorum

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
)

// record is the payload of one record of the log file.
type record struct {
	Hard    *HardState `msgpack:"hard,omitempty"`
	Entries []Entry    `msgpack:"entries,omitempty"`
}

func (s *Store) appendRecord(w *bytes.Buffer, v any) error {
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	s.seq++
	writeRecord(w, s.seq, payload)
	return nil
}

func writeRecord(w *bytes.Buffer, seq uint64, payload []byte) {
	var header [recordHeaderSize]byte
	binary.BigEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.BigEndian.PutUint64(header[8:], seq)
	sum := crc32.Update(crc32.Checksum(header[8:], castagnoli), castagnoli, payload)
	binary.BigEndian.PutUint32(header[4:], sum)
	w.Write(header[:])
	w.Write(payload)
}

// readRecord decodes the record at the start of b. The result ok is false if the
// record is incomplete, too large or fails its checksum.
func readRecord(b []byte) (seq uint64, payload []byte, ok bool) {
	if len(b) < recordHeaderSize {
		return 0, nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxRecordSize || recordHeaderSize+n > len(b) {
		return 0, nil, false
	}
	payload = b[recordHeaderSize : recordHeaderSize+n]
	sum := crc32.Update(crc32.Checksum(b[8:recordHeaderSize], castagnoli), castagnoli, payload)
	if sum != binary.BigEndian.Uint32(b[4:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(b[8:]), payload, true
}

// scanLog loads records up to the first invalid one and returns the length of the
// valid part in bytes. An invalid record that a valid one follows is corruption,
// not a torn write.
func (s *Store) scanLog(path string, data []byte) (int64, error) {
	at := 0
	for at < len(data) {
		seq, payload, ok := readRecord(data[at:])
		if !ok || seq != s.seq+1 {
			if next, found := findLaterRecord(data, at+1, s.seq); found {
				return 0, fault.New(fault.Corrupt, "%s: damaged at byte %d, next valid record at byte %d", path, at, next)
			}
			return int64(at), nil
		}
		if err := s.loadRecord(path, at, payload); err != nil {
			return 0, err
		}
		s.seq = seq
		at += recordHeaderSize + len(payload)
	}
	return int64(at), nil
}

// findLaterRecord returns the position of the first valid record at or after byte
// from with a sequence number greater than seq. It computes a checksum only where the
// length and the sequence number are plausible.
func findLaterRecord(data []byte, from int, seq uint64) (int, bool) {
	for at := from; at+recordHeaderSize <= len(data); at++ {
		n := int(binary.BigEndian.Uint32(data[at:]))
		later := binary.BigEndian.Uint64(data[at+8:])
		if n == 0 || at+recordHeaderSize+n > len(data) || later <= seq || later > seq+uint64(len(data)) {
			continue
		}
		if _, _, ok := readRecord(data[at:]); ok {
			return at, true
		}
	}
	return 0, false
}

func (s *Store) loadRecord(path string, at int, payload []byte) error {
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
		return fault.New(fault.Corrupt, "%s: record at byte %d: missing entries before entry %d", path, at, r.Entries[0].Index)
	}
	s.stored.Entries = kept
	return nil
}

// spliceEntries replaces the entries from add[0].Index on with add. It returns false
// if there is a gap between entries and add.
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
