package quorum

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryridge/hickoryridge/fault"
)

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func entriesFrom(first Index, n int, term Term) []Entry {
	var out []Entry
	for i := range n {
		out = append(out, Entry{Index: first + Index(i), Term: term, Kind: EntryCommand, Data: []byte{byte(i)}})
	}
	return out
}

func writeSampleLog(t *testing.T, dir string) {
	t.Helper()
	s := openStore(t, dir)
	if err := s.Bootstrap(threeMembers()); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		hard := HardState{Term: Term(i + 2), Vote: s.Disk()}
		if err := s.Append([]Persist{{Hard: &hard, Entries: entriesFrom(Index(2+2*i), 2, Term(i+2))}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestTornTailIsCut guards against a store that cannot open after a torn write. It
// truncates the log at every length and checks that the store opens with a prefix
// of the entries and accepts further appends.
func TestTornTailIsCut(t *testing.T) {
	dir := t.TempDir()
	writeSampleLog(t, dir)
	path := filepath.Join(dir, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	last := Index(12)
	for cut := len(whole); cut > recordHeaderSize*2; cut-- {
		if err := os.WriteFile(path, whole[:cut], filePerm); err != nil {
			t.Fatal(err)
		}
		s, err := OpenStore(dir)
		if err != nil {
			t.Fatalf("cut at %d of %d: %v", cut, len(whole), err)
		}
		got := s.Stored().Meta.Index + Index(len(s.Stored().Entries))
		if got > last {
			t.Fatalf("cut at %d: last entry is %d, but a shorter log ended at %d", cut, got, last)
		}
		last = got
		if err := s.Append([]Persist{{Entries: entriesFrom(got+1, 1, 9)}}); err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		_ = s.Close()
	}
}

// TestDamagedMiddleIsRefused guards against treating corruption as a torn write,
// which would drop synced entries. It damages each byte before the last record and
// checks that the store does not open.
func TestDamagedMiddleIsRefused(t *testing.T) {
	dir := t.TempDir()
	writeSampleLog(t, dir)
	path := filepath.Join(dir, logName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lastRecord := 0
	for at := 0; at < len(whole); {
		_, payload, ok := readRecord(whole[at:])
		if !ok {
			t.Fatal("invalid record in an undamaged log")
		}
		lastRecord = at
		at += recordHeaderSize + len(payload)
	}
	for i := range lastRecord {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x10
		if err := os.WriteFile(path, damaged, filePerm); err != nil {
			t.Fatal(err)
		}
		s, err := OpenStore(dir)
		if err == nil {
			_ = s.Close()
			t.Fatalf("the store opened although byte %d of %d was damaged", i, len(whole))
		}
		if !fault.Is(err, fault.Corrupt) || !strings.Contains(err.Error(), "damaged at byte") {
			t.Fatalf("byte %d damaged: got error %v, want a corruption error with the position", i, err)
		}
	}
}

func TestStoreRefusals(t *testing.T) {
	for name, damage := range map[string]func(dir string) error{
		"no identity": func(f string) error { return os.Remove(filepath.Join(f, identityName)) },
		"no log":      func(f string) error { return os.Remove(filepath.Join(f, logName)) },
		"bad snapshot": func(f string) error {
			return os.WriteFile(filepath.Join(f, snapshotName), []byte("nothing"), filePerm)
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			writeSampleLog(t, dir)
			if err := damage(dir); err != nil {
				t.Fatal(err)
			}
			if _, err := OpenStore(dir); !fault.Is(err, fault.Corrupt) {
				t.Errorf("got error %v, want fault.Corrupt", err)
			}
		})
	}
}

// TestStoreKeepsWhatItSynced compares a store with an in-memory model over random
// appends, compactions, snapshot installations and restarts.
func TestStoreKeepsWhatItSynced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "store")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		s, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Bootstrap(threeMembers()); err != nil {
			t.Fatal(err)
		}
		want := s.Stored()
		last := func() Index { return want.Meta.Index + Index(len(want.Entries)) }
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1: // append, possibly replacing the tail
				from := rapid.Uint64Range(uint64(want.Meta.Index)+1, uint64(last())+1).Draw(t, "from")
				add := entriesFrom(Index(from), rapid.IntRange(1, 4).Draw(t, "n"), Term(rapid.IntRange(1, 9).Draw(t, "term")))
				want.Hard = HardState{Term: add[0].Term}
				hard := want.Hard
				err = s.Append([]Persist{{Hard: &hard, Entries: add}})
				want.Entries = append(append([]Entry(nil), want.Entries[:from-uint64(want.Meta.Index)-1]...), add...)
			case 2: // compact
				if len(want.Entries) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(want.Entries)-1).Draw(t, "upto")
				want.Meta = SnapshotMeta{Index: want.Entries[i].Index, Term: want.Entries[i].Term, Members: threeMembers()}
				want.Entries = append([]Entry(nil), want.Entries[i+1:]...)
				err = s.Compact(want.Meta, []byte("state"))
			case 3: // install a snapshot
				want.Meta = SnapshotMeta{Index: last() + 5, Term: 9, Members: threeMembers()}
				want.Entries = nil
				err = s.InstallSnapshot(want.Meta, []byte("other"))
			case 4: // restart
				_ = s.Close()
				s, err = OpenStore(dir)
			}
			if err != nil {
				t.Fatal(err)
			}
			got := s.Stored()
			if len(got.Entries) == 0 {
				got.Entries = nil
			}
			if len(want.Entries) == 0 {
				want.Entries = nil
			}
			if got.Hard != want.Hard || !reflect.DeepEqual(got.Meta, want.Meta) || !reflect.DeepEqual(got.Entries, want.Entries) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
		_ = s.Close()
	})
}

// TestRewrite checks that a store whose files hold anything, as they may after a failed sync, writes what was synced anew: at any point in
// its life, and so that it can go on.
func TestRewrite(t *testing.T) {
	hard := HardState{Term: 7, Vote: "d2"}
	steps := []func(s *Store) error{
		func(s *Store) error { return s.Bootstrap(threeMembers()) },
		func(s *Store) error { return s.Append([]Persist{{Hard: &hard, Entries: entriesFrom(2, 6, 7)}}) },
		func(s *Store) error {
			return s.Compact(SnapshotMeta{Index: 4, Term: 7, Members: threeMembers()}, []byte("state"))
		},
		func(s *Store) error { return s.Append([]Persist{{Entries: entriesFrom(8, 2, 7)}}) },
		func(s *Store) error {
			return s.InstallSnapshot(SnapshotMeta{Index: 20, Term: 7, Members: threeMembers()}, []byte("newer"))
		},
	}
	for failAfter := range len(steps) + 1 {
		dir := t.TempDir()
		s := openStore(t, dir)
		for n, step := range steps {
			if n == failAfter {
				rewriteSpoilt(t, s, dir)
			}
			if err := step(s); err != nil {
				t.Fatalf("failure after %d steps, step %d: %v", failAfter, n, err)
			}
		}
		if failAfter == len(steps) {
			rewriteSpoilt(t, s, dir)
		}
		want := s.Stored()
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		after := openStore(t, dir)
		if got := after.Stored(); !reflect.DeepEqual(got, want) || string(after.SnapshotData()) != "newer" || want.Hard != hard {
			t.Errorf("failure after %d steps: %+v and %q, want %+v", failAfter, got, after.SnapshotData(), want)
		}
		_ = after.Close() // nothing was written
	}
}

// rewriteSpoilt spoils the files of a store and lets it write them anew, at the second attempt.
func rewriteSpoilt(t *testing.T, s *Store, dir string) {
	t.Helper()
	want := s.Stored()
	for _, name := range []string{logName, snapshotName} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("anything"), filePerm); err != nil {
			t.Fatal(err)
		}
	}
	inTheWay := filepath.Join(dir, logName+tempSuffix)
	if err := os.Mkdir(inTheWay, dirPerm); err != nil {
		t.Fatal(err)
	}
	if err := s.Rewrite(); err == nil {
		t.Fatal("written anew without room for the log")
	}
	if err := os.Remove(inTheWay); err != nil {
		t.Fatal(err)
	}
	if err := s.Rewrite(); err != nil {
		t.Fatal(err)
	}
	if got := s.Stored(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v in memory, want %+v", got, want)
	}
}

// TestFailedSyncIsMarked checks that the error of a failed sync can be distinguished
// from that of a failed write. After a failed write the disk may be used again;
// after a failed sync its contents are unknown.
func TestFailedSyncIsMarked(t *testing.T) {
	s, err := OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if err := s.Append([]Persist{{Hard: &HardState{Term: 1}}}); err == nil || errors.Is(err, ErrSync) {
		t.Errorf("write to a closed file: %v", err)
	}
	if err := s.sync(); !errors.Is(err, ErrSync) {
		t.Errorf("sync of a closed file: %v", err)
	}
}
