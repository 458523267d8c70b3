package settings

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestChangeBeforeWatch guards against a change of the settings that is never applied, because the file changed
// after it was loaded and before the watch began.
func TestChangeBeforeWatch(t *testing.T) {
	const text = `{"instance":"i","region":"r","domain":"d","callers":"127.0.0.1:1","control":"127.0.0.1:2","peer":"127.0.0.1:3","data":"x","seeds":["SEED"]}`
	path := filepath.Join(t.TempDir(), "s.json")
	write := func(seed string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.Replace(text, "SEED", seed, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:4")
	loaded, faults, err := Load(path, false)
	if err != nil || len(faults) > 0 {
		t.Fatal(err, faults)
	}
	write("127.0.0.1:5")
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	changed := make(chan *Settings, 8)
	w := Watch{Path: path, Loaded: loaded, Changed: func(s *Settings) { changed <- s }, Log: logger}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- w.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	select {
	case s := <-changed:
		if s.Seeds[0] != "127.0.0.1:5" {
			t.Errorf("seeds %v", s.Seeds)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the change was not applied")
	}
	time.Sleep(2 * pollInterval)
	if n := len(changed); n > 0 {
		t.Errorf("%d more changes, and the file stayed the same", n)
	}
}
