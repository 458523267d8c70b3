package receipt

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/state"
)

// slowLog is a log that delays the closing of receipts.
type slowLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   quorum.Index
	delay   time.Duration
}

var _ Log = &slowLog{}

func (l *slowLog) Propose(_ context.Context, c state.Command) (state.Result, error) {
	if c.Close != nil {
		time.Sleep(l.delay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	c.At = 1
	data, err := c.Encode()
	if err != nil {
		return state.Result{}, err
	}
	return l.machine.Apply(l.index, data).(state.Result), nil
}

// TestOutcomeCommittedBeforeAnswer checks that an unknown outcome is committed before the caller
// receives it. Otherwise a second request under the same key could get another result.
func TestOutcomeCommittedBeforeAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := &slowLog{machine: state.NewMachine(), delay: 50 * time.Millisecond}
	r := NewRunner(log, logrus.NewEntry(logger))
	ended := make(chan error, 1)
	go func() { ended <- r.RunCloser(ctx) }()

	open := state.OpenReceipt{ID: state.ReceiptID{Tenant: "t", Service: "s", Key: "k"}, Attempt: "a1", Owner: "i1", Boot: "b1"}
	_, err := r.Run(ctx, open, func(_ context.Context, beforeSend func() error) (*state.StoredResponse, error) {
		if err := beforeSend(); err != nil {
			return nil, err
		}
		return nil, errors.New("connection lost")
	})
	if fault.ResponseOf(err).Ran != fault.RanUnknown {
		t.Errorf("answer %v, want an unknown outcome", err)
	}
	if n := log.machine.Counts().Open; n != 0 {
		t.Errorf("answered while %d receipts are open", n)
	}
	open.Attempt = "a2"
	_, err = r.Run(ctx, open, nil)
	if got := fault.KindOf(err); got != fault.OutcomeUnknown {
		t.Errorf("the next request got %v (%v), want %v", got, err, fault.OutcomeUnknown)
	}
	cancel()
	<-ended
}
