package settings

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/internal/strictjson"
)

// pollInterval is the interval at which the file is checked for changes without a signal.
const pollInterval = 1 * time.Second

// Watch reloads a settings file when its content changes. It checks at each signal and every
// pollInterval. An unreadable or invalid file leaves the current settings in force.
type Watch struct {
	Path    string
	Lenient bool      // ignore unknown fields
	Loaded  *Settings // that the process started with
	Signals <-chan os.Signal
	Changed func(*Settings)
	Log     *logrus.Logger

	last []byte
}

// Run watches the file until ctx ends.
func (w *Watch) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	w.read() // the file may have changed since it was loaded
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.Signals:
			w.Log.WithField("event", "settings_signal").Info("signal received; checking the settings file")
		case <-ticker.C:
		}
		w.read()
	}
}

func (w *Watch) read() {
	data, err := os.ReadFile(w.Path)
	if err != nil {
		w.Log.WithFields(logrus.Fields{"event": "settings_unreadable", "file": w.Path, "cause": err}).Warn("settings file cannot be read; keeping the current settings")
		return
	}
	if bytes.Equal(data, w.last) {
		return
	}
	w.last = data
	s, faults := w.parse(data)
	if len(faults) > 0 {
		w.Log.WithFields(logrus.Fields{"event": "settings_refused", "file": w.Path, "cause": faults[0]}).Warn("settings are invalid; keeping the current settings")
		return
	}
	if reflect.DeepEqual(s, w.Loaded) {
		return
	}
	w.Loaded = s
	w.Changed(s)
}

func (w *Watch) parse(data []byte) (*Settings, strictjson.Faults) {
	if w.Lenient {
		return ParseLenient(data)
	}
	return Parse(data)
}
