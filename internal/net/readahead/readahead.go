// Package readahead reads the rest of a target's answer while its caller reads slowly.
//
// Load pattern: hundreds of callers on bad lines read long answers slowly, beside others. A relay that writes to such
// a caller reads nothing meanwhile. The answer then stays unread at the target, which holds a place for it, and cuts
// it off after some seconds.
//
// A Reader reads on in the background, up to a bound. Up to there a slow caller costs this instance memory and
// the target nothing; beyond it, the target has to wait as before.
package readahead

import (
	"context"
	"io"
	"sync"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Reader reads ahead from a source. Use New. Its methods must be called by one goroutine.
type Reader struct {
	done chan struct{} // closed when the background task has ended

	mu      sync.Mutex
	changed *sync.Cond // any of the fields below
	ring    []byte
	first   int // index of the first byte that has not been read
	unread  int
	err     error // of the source; nil until it ends
	stopped bool
}

// New starts to read ahead from src by up to limit bytes, which must be positive. ended is called in the background when src
// has ended, with an error or not. When ctx ends, src must fail.
func New(ctx context.Context, src io.Reader, limit ident.Bytes, ended func()) *Reader {
	r := &Reader{done: make(chan struct{}), ring: make([]byte, limit)}
	r.changed = sync.NewCond(&r.mu)
	go r.run(ctx, src, ended)
	return r
}

// run reads from src until it ends, ctx does, or the reader stops.
func (r *Reader) run(ctx context.Context, src io.Reader, ended func()) {
	defer close(r.done)
	defer ended()
	defer context.AfterFunc(ctx, r.stop)()
	for {
		free := r.awaitFree()
		if free == nil {
			return
		}
		n, err := src.Read(free)
		if r.add(n, err) {
			return
		}
	}
}

// awaitFree waits for room and returns a part of it, or nil if the reader stops.
func (r *Reader) awaitFree() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.unread == len(r.ring) && !r.stopped {
		r.changed.Wait()
	}
	if r.stopped {
		return nil
	}
	begin := (r.first + r.unread) % len(r.ring)
	end := len(r.ring)
	if begin < r.first {
		end = r.first
	}
	return r.ring[begin:end]
}

// add records the result of a read into the ring, and reports whether it was the last one.
func (r *Reader) add(n int, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread += n
	r.err = err
	r.changed.Broadcast()
	return err != nil
}

// Read reads what has been read ahead, and waits for it if there is nothing. At the end of the source it returns the error that
// the source returned.
func (r *Reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.unread == 0 && r.err == nil && !r.stopped {
		r.changed.Wait()
	}
	if r.unread == 0 {
		if r.err == nil {
			return 0, io.ErrClosedPipe
		}
		return 0, r.err
	}
	n := copy(p, r.ring[r.first:min(r.first+r.unread, len(r.ring))])
	r.first = (r.first + n) % len(r.ring)
	r.unread -= n
	r.changed.Broadcast()
	return n, nil
}

// stop ends waits for room and for bytes.
func (r *Reader) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.changed.Broadcast()
}

// Stop ends the background task and waits for it. The source must have ended, or fail now.
func (r *Reader) Stop() {
	r.stop()
	<-r.done
}
