package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

// forgedManifest has a route for streams that may be resumed.
const forgedManifest = `{"version":7,"routes":[
{"name":"sheet","host":"lab.example","pathPrefix":"/sheet/","kind":"stream","timeoutMs":5000,"sloMs":500,"priority":1,"service":"lab-advisor","maxAttempts":2,"resumable":true,"itlSloMs":200}],
"services":[{"name":"lab-advisor","healthPath":"/healthz","maxConns":310,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

const (
	// forgedRequests come within 5.5 s, more slowly than the streams of the site.
	forgedRequests = 440
	forgedPause    = 12 * time.Millisecond
	forgedEvents   = 12
	// One replica of the two breaks off one in breakEvery of its streams after event breakAfter.
	breakAfter = 4
	breakEvery = 20
	// maxJoined is the number of streams of two versions that the rule allows.
	maxJoined = 2
)

// playForged serves streams by two replicas of different software versions. One of them breaks some of its streams
// off. With trouble, each liveness report is followed by one of another writer, which lacks the field version.
func playForged(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(3, 2, forgedManifest)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 2 {
		version := fmt.Sprint("v", i+1)
		id := "advisor-" + version
		var mu sync.Mutex
		runs := 0
		r, err := newReplica(s, id, "lab-advisor", version, "", 48, func(ch *channel, req *http.Request) bool {
			mu.Lock()
			runs++
			broken := version == "v1" && lastEventID(req) == 0 && runs%breakEvery == 0
			mu.Unlock()
			return streamOfVersion(rec, version, ch, req, broken)
		})
		if err != nil {
			return false, err
		}
		if trouble {
			r.after = func(report map[string]any) { forge(rec, r, report) }
		}
		go r.announce(ctx)
	}
	q := newRequester()
	if err := awaitServed(q, s.fronts[0], "/sheet/warm"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both replicas are known to all machines
	var wg sync.WaitGroup
	answers := make([]answer, forgedRequests)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * forgedPause)
			answers[i] = q.send(s.fronts[i%2].front(), http.MethodPost, "/sheet/x", 5*time.Second, nil)
		})
	}
	wg.Wait()
	joined := 0
	for _, a := range answers {
		versions := versionsOf(a.body)
		rec.line("request %s: status %d, complete %v, events of versions %s", a.id, a.status, a.complete, strings.Join(versions, " "))
		if len(versions) > 1 {
			joined++
		}
	}
	rec.line("%d of %d streams hold events from replicas of two software versions; %d are allowed", joined, forgedRequests, maxJoined)
	return joined > maxJoined, nil
}

// forge sends the report of another writer: a copy of a replica's own one without the field version.
func forge(rec *record, r *replica, report map[string]any) {
	copied := maps.Clone(report)
	delete(copied, "version")
	sequence, ok := copied["sequence"].(int64)
	if !ok {
		return
	}
	copied["sequence"] = sequence + 1
	for _, control := range r.controls {
		acknowledged := r.put(control, copied)
		rec.line("another writer reports %s without its version to %s; acknowledged: %v", r.id, control, acknowledged)
		if acknowledged {
			return
		}
	}
}

// streamOfVersion answers with the rest of a stream whose events name the replica's version. If it is to break off,
// the channel ends after breakAfter events.
func streamOfVersion(rec *record, version string, ch *channel, req *http.Request, broken bool) bool {
	id, after := req.Header.Get("X-Request-Id"), lastEventID(req)
	rec.line("replica of %s runs request %s after event %d", version, id, after)
	if err := ch.beginStream(req, http.Header{"X-Response-Signature": {"signed." + id}}); err != nil {
		return false
	}
	for n := after + 1; n <= forgedEvents; n++ {
		if broken && n > breakAfter {
			rec.line("replica of %s breaks request %s off after event %d", version, id, breakAfter)
			return false
		}
		if err := ch.event(n, "from "+version); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ch.endStream() == nil
}

var versionInEvent = regexp.MustCompile(`data: from (v[0-9]+)`)

// versionsOf returns the versions that wrote the events of a stream, in order.
func versionsOf(body string) []string {
	var versions []string
	for _, match := range versionInEvent.FindAllStringSubmatch(body, -1) {
		if len(versions) == 0 || versions[len(versions)-1] != match[1] {
			versions = append(versions, match[1])
		}
	}
	return versions
}
