package settings

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// watchEvery is the interval at which the file is read without a signal.
const watchEvery = 1 * time.Second

// Watch follows changes of a settings file, at SIGHUP and without a signal. A file
// that cannot be used changes nothing.
type Watch struct {
	Path    string
	Lenient bool // the file may have unknown fields
	Changed func(*Settings)
	Log     *logrus.Logger

	last []byte
}

// Run is the duty that watches until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	w.last, _ = os.ReadFile(w.Path) // the next read tells of a failure
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			w.Log.WithField("event", "settings_signal").Info("told to read the settings again")
		case <-ticker.C:
		}
		w.read()
	}
}

func (w *Watch) read() {
	data, err := os.ReadFile(w.Path)
	if err != nil {
		w.Log.WithFields(logrus.Fields{"event": "settings_unreadable", "file": w.Path, "cause": err}).Warn("settings were not read; the present ones stay")
		return
	}
	if bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	s, faults := w.parse(data)
	if len(faults) > 0 {
		w.Log.WithFields(logrus.Fields{"event": "settings_refused", "file": w.Path, "cause": faults[0]}).Warn("settings have faults; the present ones stay")
		return
	}
	w.Changed(s)
}

func (w *Watch) parse(data []byte) (*Settings, strictjson.Faults) {
	if w.Lenient {
		return ParseLenient(data)
	}
	return Parse(data)
}
