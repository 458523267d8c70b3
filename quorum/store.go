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

// File names inside the data folder.
const (
	identityName = "disk.json"
	logName      = "log"
	snapshotName = "snapshot"
	tempSuffix   = ".tmp"
)

const (
	// recordHeader is length (4 bytes), checksum (4 bytes) and sequence (8 bytes).
	recordHeader = 16
	maxRecord    = 64 << 20 // bytes in one record
	filePerm     = 0o600
	folderPerm   = 0o700
)

// ErrSync marks the errors of a sync that failed. What the disk holds of the data
// written before it is not known then, whatever it reads back.
var ErrSync = errors.New("sync failed")

// synced marks the error of a sync, if there is one.
func synced(err error) error {
	if err == nil {
		return nil
	}
	return fault.Wrap(fault.Internal, fmt.Errorf("%w: %w", ErrSync, err))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// identity is the contents of the identity file.
type identity struct {
	Disk ident.DiskID `json:"disk"`
}

// snapshotFile is the payload of the snapshot file's only record.
type snapshotFile struct {
	Meta SnapshotMeta `msgpack:"meta"`
	Data []byte       `msgpack:"data"`
}

// Store keeps one member's log, votes and snapshot in a data folder. A call that
// returns without an error has synced what it wrote. A Store is not safe for
// concurrent use; the disk duty owns it.
type Store struct {
	folder string
	disk   ident.DiskID
	file   *os.File
	seq    uint64

	stored   StoredState
	snapshot []byte
	buf      bytes.Buffer
}

// OpenStore opens the data folder, or prepares an empty one with a new disk
// identity. A torn tail of the log is cut. It returns a fault.Corrupt error with
// file and position for damage elsewhere.
func OpenStore(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	s := &Store{folder: folder}
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

// Disk returns the identity of the data folder.
func (s *Store) Disk() ident.DiskID { return s.disk }

// Stored returns what the folder holds.
func (s *Store) Stored() StoredState {
	st := s.stored
	st.Entries = append([]Entry(nil), st.Entries...)
	return st
}

// SnapshotData returns the snapshot's state, or nil if there is none.
func (s *Store) SnapshotData() []byte { return s.snapshot }

// Bootstrapped reports whether the folder belongs to a formed quorum.
func (s *Store) Bootstrapped() bool { return len(s.stored.Meta.Members.Members) > 0 }

// Close closes the log file.
func (s *Store) Close() error { return s.file.Close() }

// Bootstrap makes the folder part of a new quorum with the given members.
func (s *Store) Bootstrap(members Membership) error {
	if s.Bootstrapped() {
		return fault.New(fault.InProgress, "data folder %s belongs to a quorum already", s.folder)
	}
	meta := SnapshotMeta{Index: foundingIndex, Term: 1, Members: members}
	hard := HardState{Term: 1}
	// A formed folder never has an empty log, so the log is written first.
	if err := s.Append([]Persist{{Hard: &hard}}); err != nil {
		return err
	}
	return s.InstallSnapshot(meta, nil)
}

// Append writes every batch and syncs once.
func (s *Store) Append(batch []Persist) error {
	s.buf.Reset()
	for _, p := range batch {
		if p.Hard == nil && len(p.Entries) == 0 {
			continue
		}
		if err := s.frame(&s.buf, record{Hard: p.Hard, Entries: p.Entries}); err != nil {
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
	return s.mirror(batch)
}

// mirror repeats a synced batch on the copy in memory.
func (s *Store) mirror(batch []Persist) error {
	for _, p := range batch {
		if p.Hard != nil {
			s.stored.Hard = *p.Hard
		}
		if len(p.Entries) == 0 {
			continue
		}
		entries, ok := spliceEntries(s.stored.Entries, p.Entries)
		if !ok {
			return fault.New(fault.Internal, "log of %s: gap before entry %d", s.folder, p.Entries[0].Index)
		}
		s.stored.Entries = entries
	}
	return nil
}

func (s *Store) sync() error { return synced(s.file.Sync()) }

// Compact replaces the snapshot and drops the log's entries that it covers.
func (s *Store) Compact(meta SnapshotMeta, data []byte) error {
	var tail []Entry
	for i, e := range s.stored.Entries {
		if e.Index > meta.Index {
			tail = append(tail, s.stored.Entries[i:]...)
			break
		}
	}
	return s.save(meta, data, tail)
}

// InstallSnapshot replaces snapshot and log by another member's snapshot.
func (s *Store) InstallSnapshot(meta SnapshotMeta, data []byte) error { return s.save(meta, data, nil) }

// save replaces the snapshot, then the log. A crash between the two leaves a log
// that loading trims to the snapshot.
func (s *Store) save(meta SnapshotMeta, data []byte, tail []Entry) error {
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
	if err := s.frame(&buf, record{Hard: &s.stored.Hard, Entries: tail}); err != nil {
		return err
	}
	if err := s.replace(logName, buf.Bytes()); err != nil {
		return err
	}
	s.stored.Meta = meta
	s.stored.Entries = tail
	s.snapshot = data
	return s.openLog()
}

// replace writes a file under a temporary name, syncs it and renames it.
func (s *Store) replace(name string, data []byte) error {
	temp := filepath.Join(s.folder, name+tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = synced(f.Sync())
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	if err := os.Rename(temp, filepath.Join(s.folder, name)); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return s.syncFolder()
}

func (s *Store) syncFolder() error {
	d, err := os.Open(s.folder)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return errors.Join(synced(d.Sync()), d.Close())
}

func (s *Store) openLog() error {
	if s.file != nil {
		_ = s.file.Close() // every write to it was synced
	}
	f, err := os.OpenFile(filepath.Join(s.folder, logName), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	_, err = f.Seek(0, io.SeekEnd)
	s.file = f
	return fault.Wrap(fault.Internal, err)
}

func (s *Store) loadIdentity() error {
	data, err := os.ReadFile(filepath.Join(s.folder, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return s.newIdentity()
	}
	if err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil || id.Disk == "" {
		return fault.New(fault.Corrupt, "%s: not a disk identity", filepath.Join(s.folder, identityName))
	}
	s.disk = id.Disk
	return nil
}

// newIdentity names an empty folder. A folder with a log but no identity was
// damaged and is refused.
func (s *Store) newIdentity() error {
	for _, name := range []string{logName, snapshotName} {
		if _, err := os.Stat(filepath.Join(s.folder, name)); err == nil {
			return fault.New(fault.Corrupt, "%s: %s exists without %s", s.folder, name, identityName)
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
	path := filepath.Join(s.folder, snapshotName)
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
	path := filepath.Join(s.folder, logName)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fault.Wrap(fault.Internal, err)
	}
	if s.Bootstrapped() && len(data) == 0 {
		return fault.New(fault.Corrupt, "%s: missing beside a snapshot", path)
	}
	good, err := s.scan(path, data)
	if err != nil {
		return err
	}
	s.trimToSnapshot()
	if err := s.openLog(); err != nil {
		return err
	}
	if good < int64(len(data)) {
		return s.cutTail(good)
	}
	return nil
}

// trimToSnapshot keeps the entries that continue the snapshot.
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

func (s *Store) cutTail(good int64) error {
	if err := s.file.Truncate(good); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	if _, err := s.file.Seek(good, io.SeekStart); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return s.sync()
}
