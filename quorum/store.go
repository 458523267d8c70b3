package quorum

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// File names inside the data directory.
const (
	identityName = "disk.json"
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".tmp"
)

const (
	// recordHeaderSize covers the payload length (4 bytes), the checksum (4 bytes)
	// and the sequence number (8 bytes).
	recordHeaderSize = 16
	maxRecordSize    = 64 << 20 // payload bytes of one record
	filePerm         = 0o600
	dirPerm          = 0o700
)

// ErrSync is wrapped by the error of a failed sync. After such an error it is
// unknown which of the preceding writes are on disk, even if they read back
// correctly.
var ErrSync = errors.New("sync failed")

// wrapSyncError wraps the error of a sync in ErrSync. It returns nil for nil.
func wrapSyncError(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(fault.Internal, fmt.Errorf("%w: %w", ErrSync, err))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is the content of the identity file.
type identity struct {
	Disk ident.DiskID `json:"disk"`
}

// snapshotFile is the payload of the only record in the snapshot file.
type snapshotFile struct {
	Meta SnapshotMeta `msgpack:"meta"`
	Data []byte       `msgpack:"data"`
}

// Store persists one member's log, hard state and snapshot in a data directory. A
// call that returns without an error has synced its writes. A Store is not safe for
// concurrent use; a running Node accesses it only from its disk goroutine.
type Store struct {
	dir  string
	disk ident.DiskID
	file *os.File
	seq  uint64

	stored   StoredState
	snapshot []byte
	buf      bytes.Buffer
}

// OpenStore opens a data directory, or initializes an empty one with a new disk
// identity. It truncates the log at an invalid record that no valid one follows, which
// a torn write leaves. For damage elsewhere it returns a fault.Corrupt error that names
// the file and, for the log and the snapshot, the position.
func OpenStore(dir string) (*Store, error) {
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	s := &Store{dir: dir}
	if err := s.loadIdentity(); err != nil {
		return nil, err
	}
	if err := s.loadSnapshot(); err != nil {
		return nil, err
	}
	if err := s.loadLog(); err != nil {
		return nil, err
	}
	return s, nil
}

// Disk returns the disk identity of the data directory.
func (s *Store) Disk() ident.DiskID { return s.disk }

// Stored returns the persistent state.
func (s *Store) Stored() StoredState {
	st := s.stored
	st.Entries = append([]Entry(nil), st.Entries...)
	return st
}

// SnapshotData returns the state machine's snapshot, or nil if there is none.
func (s *Store) SnapshotData() []byte { return s.snapshot }

// Bootstrapped reports whether the data directory belongs to a quorum.
func (s *Store) Bootstrapped() bool { return len(s.stored.Meta.Members.Members) > 0 }

// Close closes the log file.
func (s *Store) Close() error { return s.file.Close() }

// Bootstrap initializes the data directory as part of a new quorum with the given
// members. It returns a fault.InProgress error if it belongs to a quorum already.
func (s *Store) Bootstrap(members Membership) error {
	if s.Bootstrapped() {
		return fault.New(fault.InProgress, "data directory %s already belongs to a quorum", s.dir)
	}
	meta := SnapshotMeta{Index: bootstrapIndex, Term: 1, Members: members}
	hard := HardState{Term: 1}
	// loadLog rejects a data directory with a snapshot and an empty log, so the log
	// is written before the snapshot.
	if err := s.Append([]Persist{{Hard: &hard}}); err != nil {
		return err
	}
	return s.InstallSnapshot(meta, nil)
}

// Append writes a batch of Persist actions to the log and syncs once.
func (s *Store) Append(batch []Persist) error {
	s.buf.Reset()
	for _, p := range batch {
		if p.Hard == nil && len(p.Entries) == 0 {
			continue
		}
		if err := s.appendRecord(&s.buf, record{Hard: p.Hard, Entries: p.Entries}); err != nil {
			return err
		}
	}
	if s.buf.Len() == 0 {
		return nil
	}
	if _, err := s.file.Write(s.buf.Bytes()); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	if err := s.sync(); err != nil {
		return err
	}
	return s.updateMemory(batch)
}

// updateMemory applies a synced batch to the in-memory copy of the state.
func (s *Store) updateMemory(batch []Persist) error {
	for _, p := range batch {
		if p.Hard != nil {
			s.stored.Hard = *p.Hard
		}
		if len(p.Entries) == 0 {
			continue
		}
		entries, ok := spliceEntries(s.stored.Entries, p.Entries)
		if !ok {
			return fault.New(fault.Internal, "log in %s: missing entries before entry %d", s.dir, p.Entries[0].Index)
		}
		s.stored.Entries = entries
	}
	return nil
}

func (s *Store) sync() error { return wrapSyncError(s.file.Sync()) }

// Compact replaces the snapshot and drops the log entries that it covers.
func (s *Store) Compact(meta SnapshotMeta, data []byte) error {
	var tail []Entry
	for i, e := range s.stored.Entries {
		if e.Index > meta.Index {
			tail = append(tail, s.stored.Entries[i:]...)
			break
		}
	}
	return s.replaceSnapshot(meta, data, tail)
}

// InstallSnapshot replaces the snapshot with another member's and clears the log.
func (s *Store) InstallSnapshot(meta SnapshotMeta, data []byte) error {
	return s.replaceSnapshot(meta, data, nil)
}

// Rewrite writes the snapshot and the log anew from memory, which holds what was synced and nothing else. After a failed sync
// it is unknown what the files hold. It returns an error if the data directory does not belong to this disk any more.
func (s *Store) Rewrite() error {
	switch disk, err := s.readIdentity(); {
	case err != nil:
		return err
	case disk != s.disk:
		return fault.New(fault.Corrupt, "%s: belongs to disk %s, not to %s", s.dir, disk, s.disk)
	}
	return s.replaceFiles(s.stored.Meta, s.snapshot, s.stored.Entries)
}

// replaceSnapshot replaces the snapshot and the log in the data directory and in memory.
func (s *Store) replaceSnapshot(meta SnapshotMeta, data []byte, tail []Entry) error {
	if err := s.replaceFiles(meta, data, tail); err != nil {
		return err
	}
	s.stored.Meta = meta
	s.stored.Entries = tail
	s.snapshot = data
	return nil
}

// replaceFiles replaces the snapshot file and then the log file. A crash between
// the two leaves an old log, which loadLog trims to the snapshot.
func (s *Store) replaceFiles(meta SnapshotMeta, data []byte, tail []Entry) error {
	payload, err := msgpack.Marshal(snapshotFile{Meta: meta, Data: data})
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	var buf bytes.Buffer
	writeRecord(&buf, 1, payload)
	if err := s.replace(snapshotName, buf.Bytes()); err != nil {
		return err
	}
	buf.Reset()
	s.seq = 0
	if err := s.appendRecord(&buf, record{Hard: &s.stored.Hard, Entries: tail}); err != nil {
		return err
	}
	if err := s.replace(logName, buf.Bytes()); err != nil {
		return err
	}
	return s.openLog()
}

// replace atomically replaces a file of the data directory: it writes and syncs a
// temporary file, renames it and syncs the directory.
func (s *Store) replace(name string, data []byte) error {
	temp := filepath.Join(s.dir, name+tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = wrapSyncError(f.Sync())
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	if err := os.Rename(temp, filepath.Join(s.dir, name)); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return s.syncDir()
}

func (s *Store) syncDir() error {
	d, err := os.Open(s.dir)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return errors.Join(wrapSyncError(d.Sync()), d.Close())
}

func (s *Store) openLog() error {
	if s.file != nil {
		_ = s.file.Close() // all writes are synced, so the error can be ignored
	}
	f, err := os.OpenFile(filepath.Join(s.dir, logName), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	_, err = f.Seek(0, io.SeekEnd)
	s.file = f
	return fault.Wrap(fault.Internal, err)
}

func (s *Store) loadIdentity() error {
	disk, err := s.readIdentity()
	if errors.Is(err, fs.ErrNotExist) {
		return s.newIdentity()
	}
	s.disk = disk
	return err
}

// readIdentity reads the identity file.
func (s *Store) readIdentity() (ident.DiskID, error) {
	path := filepath.Join(s.dir, identityName)
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(fault.Internal, err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil || id.Disk == "" {
		return "", fault.New(fault.Corrupt, "%s: invalid disk identity", path)
	}
	return id.Disk, nil
}

// newIdentity creates the disk identity of an empty data directory. It rejects a
// directory with a log or snapshot but no identity as damaged.
func (s *Store) newIdentity() error {
	for _, name := range []string{logName, snapshotName} {
		if _, err := os.Stat(filepath.Join(s.dir, name)); err == nil {
			return fault.New(fault.Corrupt, "%s: %s exists without %s", s.dir, name, identityName)
		}
	}
	s.disk = ident.DiskID(ident.NewRandom())
	data, err := json.Marshal(identity{Disk: s.disk})
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return s.replace(identityName, data)
}

func (s *Store) loadSnapshot() error {
	path := filepath.Join(s.dir, snapshotName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	_, payload, ok := readRecord(data)
	var snap snapshotFile
	if !ok || msgpack.Unmarshal(payload, &snap) != nil {
		return fault.New(fault.Corrupt, "%s: damaged at byte 0", path)
	}
	s.stored.Meta = snap.Meta
	s.snapshot = snap.Data
	return nil
}

func (s *Store) loadLog() error {
	path := filepath.Join(s.dir, logName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fault.Wrap(fault.Internal, err)
	}
	if s.Bootstrapped() && len(data) == 0 {
		return fault.New(fault.Corrupt, "%s: log is missing or empty, but a snapshot exists", path)
	}
	validLength, err := s.scanLog(path, data)
	if err != nil {
		return err
	}
	s.trimToSnapshot()
	if err := s.openLog(); err != nil {
		return err
	}
	if validLength < int64(len(data)) {
		return s.truncateLog(validLength)
	}
	return nil
}

// trimToSnapshot drops all entries except those that directly follow the snapshot.
func (s *Store) trimToSnapshot() {
	meta := s.stored.Meta
	entries := s.stored.Entries
	if len(entries) == 0 || entries[0].Index == meta.Index+1 {
		return
	}
	s.stored.Entries = nil
	for i, e := range entries {
		if e.Index == meta.Index && e.Term == meta.Term {
			s.stored.Entries = entries[i+1:]
			return
		}
	}
}

func (s *Store) truncateLog(length int64) error {
	if err := s.file.Truncate(length); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	if _, err := s.file.Seek(length, io.SeekStart); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return s.sync()
}
