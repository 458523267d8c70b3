package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/task"
	"github.com/hickoryridge/hickoryridge/target"
)

// BenchmarkLeaseFrames measures encoding and decoding the request and the reply of a lease renewal.
func BenchmarkLeaseFrames(b *testing.B) {
	ask := Envelope{CallID: 7, Body: &Lease{Instance: "instance-123", Boot: "0123456789abcdef01234567", Version: 123456, Demand: map[ident.ServiceID]Demand{"advisor": {Prefill: 4000, Decode: 900}}, LongPoll: true}}
	grant := Envelope{CallID: 7, Reply: true, Body: &Grant{Duration: 1, Version: 123456}}
	size := 0
	for b.Loop() {
		size = 0
		for _, e := range []Envelope{ask, grant} {
			frame, err := e.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size += len(frame)
			payload, err := ReadFrame(bytes.NewReader(frame), MaxFrame)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := Decode(payload); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size), "B/renewal")
}

// BenchmarkTableQuestion measures a Table request and its empty Listing over loopback TCP: the CPU
// time of both ends and the bytes of both frames.
func BenchmarkTableQuestion(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	listeners := map[ident.InstanceID]net.Listener{}
	for _, id := range []ident.InstanceID{"a", "b"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[id] = l
	}
	networks := map[ident.InstanceID]*Network{}
	g := task.New(ctx)
	for id, other := range map[ident.InstanceID]ident.InstanceID{"a": "b", "b": "a"} {
		networks[id] = NewNetwork(Config{
			Self: Hello{Instance: id}, Listen: listeners[id], Log: logrus.NewEntry(logger),
			Peers: map[ident.InstanceID]string{other: listeners[other].Addr().String()},
			Handler: func(context.Context, ident.InstanceID, Body) (Body, error) {
				return &Listing{Targets: target.Listing{Next: target.Cursor{Run: 1 << 60, Revision: 100_000}}}, nil
			},
		})
		networks[id].Start(g)
	}
	ask := &Table{Since: target.Cursor{Run: 1 << 60, Revision: 100_000}}
	for { // retries until the link is up
		if _, err := networks["a"].Call(ctx, "b", ask); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	sent := func() int64 { return networks["a"].SentBytes()["table"] + networks["b"].SentBytes()["listing"] }
	before, cpu := sent(), processTime(b)
	for b.Loop() {
		if _, err := networks["a"].Call(ctx, "b", ask); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/float64(b.N), "cpu-ns/question")
	b.ReportMetric(float64(sent()-before)/float64(b.N), "B/question")
	cancel()
	_ = g.Wait() // the cancelled context is the only error
}

// processTime returns the CPU time that this process has used.
func processTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCarriedEvent measures one event of a stream that an instance carries: the CPU time of the
// target's write, of the carrying instance and of the reader's read.
func BenchmarkCarriedEvent(b *testing.B) {
	event := []byte("id: 17\ndata: a piece of an answer of some length or other\n\n")
	next, got := make(chan struct{}), make([]byte, len(event))
	p := newPair(b, startTCP(b, func(c *net.TCPConn) {
		for range next {
			_, _ = c.Write(event) // a failure shows at the reader
		}
	}))
	c, err := p.near.Connect(b.Context(), "far", "target")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	cpu := processTime(b)
	for b.Loop() {
		next <- struct{}{}
		if _, err := io.ReadFull(c, got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processTime(b)-cpu).Nanoseconds())/float64(b.N), "cpu-ns/event")
	close(next)
}
