package instance

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickoryridge/hickoryridge/ident"
)

// fullDisk makes the disk of a voter full, as one does that accepts writes into its cache and finds no room at the sync: what
// was written since the last sync is gone, the sync fails, and a new file gets no room either. It returns a function
// that makes room again. The files keep their names and what was synced.
func fullDisk(t *testing.T, in *Instance) (makeRoom func()) {
	t.Helper()
	data := in.settings.Data
	replaceOpenFile(t, filepath.Join(data, "log"))
	blockFiles(t, data)
	return func() {
		for _, path := range newFiles(data) {
			if err := os.RemoveAll(path); err != nil {
				t.Error(err)
			}
		}
	}
}

// newFiles returns the files of a data directory that are written before they take the place of others.
func newFiles(data string) []string {
	return []string{filepath.Join(data, "log.tmp"), filepath.Join(data, "snapshot.tmp")}
}

// blockFiles makes sure that no new file of a data directory can be written.
func blockFiles(t *testing.T, data string) {
	t.Helper()
	for _, path := range newFiles(data) {
		if err := os.MkdirAll(filepath.Join(path, "in the way"), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// replaceOpenFile lets the descriptors of a file that this process has open refer to the null device: writes succeed and are
// lost, and a sync fails.
func replaceOpenFile(t *testing.T, path string) {
	t.Helper()
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = null.Close() }() // its duplicates stay open
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	replaced := 0
	for _, d := range descriptors {
		var fd int
		target, err := os.Readlink("/proc/self/fd/" + d.Name())
		if _, scanErr := fmt.Sscan(d.Name(), &fd); err != nil || scanErr != nil || target != path {
			continue
		}
		if err := unix.Dup3(int(null.Fd()), fd, unix.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		replaced++
	}
	if replaced != 1 {
		t.Fatalf("%s is open %d times, want once", path, replaced)
	}
}

// TestDisksFullInTurn guards against changes that are refused, or stay unanswered, long after disks have room again: each voter's disk is
// full for some seconds, one after the other and never two at once, while all instances run. Every change that was
// acknowledged must stay.
func TestDisksFullInTurn(t *testing.T) {
	c := newCluster(t)
	c.leader()
	var number ident.DocumentNumber
	change := func(what string) {
		t.Helper()
		number++
		c.waitFor(what, func() bool { return c.apply(c.leader(), number) == nil })
	}
	change("a change before")
	for i, in := range c.instances {
		makeRoom := fullDisk(t, in)
		change(fmt.Sprintf("a change while disk %d is full", i))
		c.waitFor("the voter to notice", func() bool { return in.voter.node.Load() == nil })
		time.Sleep(reopenInterval + 500*time.Millisecond)
		if in.voter.node.Load() != nil {
			t.Errorf("voter %d is back while its disk is full", i)
		}
		makeRoom()
		change(fmt.Sprintf("a change after disk %d has room again", i))
		c.waitFor("the voter to be back with all changes", func() bool {
			return in.voter.node.Load() != nil && in.voter.machine.View().Number == number
		})
	}
	change("a change after all")
}
