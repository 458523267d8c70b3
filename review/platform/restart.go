package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	restartRequests = 100
	// crashAfter is the time from the first request to the crash of a replica, and downTime the time until it is back.
	crashAfter = 2 * time.Second
	downTime   = time.Second
	// A requester takes its stream up once, after a pause between minRetryPause and maxRetryPause.
	minRetryPause = 500 * time.Millisecond
	maxRetryPause = 2 * time.Second
	restartPause  = 150 * time.Millisecond // between events
)

// restartable is a replica that can crash and start again under its id and address.
type restartable struct {
	*replica
	mu       sync.Mutex
	version  string
	channels map[*channel]bool
}

// versionNow returns the version of the present boot and remembers a channel of it.
func (r *restartable) versionNow(ch *channel) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.channels[ch] = true
	return r.version
}

// crash closes the address and all channels.
func (r *restartable) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for ch := range r.channels {
		if c, ok := ch.c.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // the channel is reset
		}
		_ = ch.c.Close()
	}
	r.channels = map[*channel]bool{}
}

// restart starts a new boot of another version under the same id and address.
func (r *restartable) restart(version string) error {
	l, err := net.Listen("tcp", r.listener.Addr().String())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	r.replica.mu.Lock()
	r.replica.version, r.sequence, r.born, r.listener = version, 0, time.Now().UnixMilli(), l
	r.replica.mu.Unlock()
	go r.accept(l)
	return nil
}

// playRestart serves streams by replicas of two versions. With trouble, the only replica of the first version crashes, and
// starts again under its id with the other version.
func playRestart(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(3, 2, forgedManifest)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	all, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := &restartable{version: "v1", channels: map[*channel]bool{}}
	first.replica, err = newReplica(s, "advisor-1", "lab-advisor", "v1", "", 48, func(ch *channel, req *http.Request) bool {
		return slowStreamOfVersion(rec, first.versionNow(ch), ch, req)
	})
	if err != nil {
		return false, err
	}
	second, err := newReplica(s, "advisor-2", "lab-advisor", "v2", "", 48, func(ch *channel, req *http.Request) bool {
		return slowStreamOfVersion(rec, "v2", ch, req)
	})
	if err != nil {
		return false, err
	}
	boot, stop := context.WithCancel(all)
	go first.announce(boot)
	go second.announce(all)
	if err := awaitServed(newRequester(), s.fronts[0], "/sheet/warm"); err != nil {
		stop()
		return false, err
	}
	time.Sleep(2 * time.Second) // both replicas are known to all machines
	var wg sync.WaitGroup
	bodies := make([]string, restartRequests)
	for i := range bodies {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			bodies[i] = takeUpOnce(rec, s, i)
		})
	}
	time.Sleep(crashAfter)
	stop()
	if trouble {
		rec.line("advisor-1, version v1, crashes")
		first.crash()
		time.Sleep(downTime)
		if err := first.restart("v2"); err != nil {
			return false, err
		}
		rec.line("advisor-1 is back under its id and address, with version v2")
	}
	go first.announce(all)
	wg.Wait()
	joined := 0
	for _, body := range bodies {
		if len(versionsOf(body)) > 1 {
			joined++
		}
	}
	rec.line("%d of %d streams hold events from replicas of two software versions; %d are allowed", joined, restartRequests, maxJoined)
	return joined > maxJoined, nil
}

// takeUpOnce sends a request and, if its stream breaks off, takes it up once at the other machine. It returns all events.
func takeUpOnce(rec *record, s *system, i int) string {
	q := newRequester()
	a := q.send(s.fronts[i%2].front(), http.MethodPost, "/sheet/x", 5*time.Second, nil)
	events := strings.Count(a.body, "\n\n")
	if a.complete || events == 0 {
		return a.body
	}
	whole := a.body[:strings.LastIndex(a.body, "\n\n")+2]
	time.Sleep(minRetryPause + rand.N(maxRetryPause-minRetryPause))
	h := http.Header{"Last-Event-Id": {fmt.Sprint(events)}, "Resumes": {a.id}}
	b := q.send(s.fronts[(i+1)%2].front(), http.MethodPost, "/sheet/x", 3*time.Second, h)
	rec.line("request %s broke off after event %d; taken up as %s: status %d, events of %s", a.id, events, b.id, b.status, strings.Join(versionsOf(whole+b.body), " "))
	if b.status != http.StatusOK {
		return whole
	}
	return whole + b.body
}

// slowStreamOfVersion answers with the rest of a stream whose events name a version.
func slowStreamOfVersion(rec *record, version string, ch *channel, req *http.Request) bool {
	id, after := req.Header.Get("X-Request-Id"), lastEventID(req)
	rec.line("replica of %s runs request %s after event %d", version, id, after)
	if err := ch.beginStream(req, http.Header{"X-Response-Signature": {"signed." + id}}); err != nil {
		return false
	}
	for n := after + 1; n <= forgedEvents; n++ {
		if err := ch.event(n, "from "+version); err != nil {
			return false
		}
		time.Sleep(restartPause)
	}
	return ch.endStream() == nil
}
