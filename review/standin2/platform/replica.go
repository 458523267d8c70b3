package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	replicaPort  = 8080
	replicaSlots = 24
	firstVersion = "v1" // of the replicas' software
	ackPoll      = 20 * time.Millisecond
	settleTime   = 3 * time.Second // until the system has all replicas
)

// arrival is a request that reached a replica.
type arrival struct {
	id      string
	path    string
	parts   string
	replica string
	at      time.Time
}

// replicaConfig describes a replica.
type replicaConfig struct {
	service string
	zone    string
	engine  bool
	late    time.Duration // that its liveness reports take to arrive
	// serve answers a request that this replica runs. It writes head and body.
	serve func(rep *replica, w http.ResponseWriter, req *http.Request)
}

// replica stands in for one replica of a service. It announces itself to the core.
type replica struct {
	replicaConfig
	c   *cluster
	rec *record
	ip  string

	mu       sync.Mutex
	id       string
	version  string
	born     int64
	sequence int
	state    string
	up       bool
	cutOff   bool // its announcements do not reach the core
	lastAck  time.Time
	running  int
	listener net.Listener
	conns    map[net.Conn]struct{}
	arrivals []arrival
}

func (rep *replica) addr() string { return fmt.Sprintf("%s:%d", rep.ip, replicaPort) }

// newReplica starts a replica that announces itself until the run ends.
func (r *run) newReplica(cfg replicaConfig) (*replica, error) {
	rep := &replica{replicaConfig: cfg, c: r.cluster, rec: r.record, ip: r.loopback(), conns: map[net.Conn]struct{}{}}
	if err := rep.boot(); err != nil {
		return nil, err
	}
	go rep.beat()
	return rep, nil
}

// boot starts the replica, with an id of its own.
func (rep *replica) boot() error {
	return rep.bootAs(fmt.Sprintf("i-%08x", rand.Uint32()), firstVersion)
}

// bootAs starts the replica with an id and a version of its software.
func (rep *replica) bootAs(id, version string) error {
	l, err := net.Listen("tcp", rep.addr())
	if err != nil {
		return err
	}
	rep.mu.Lock()
	rep.id, rep.version = id, version
	rep.born, rep.sequence, rep.state, rep.up, rep.listener = time.Now().UnixMilli(), 0, "ready", true, l
	rep.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(rep.handle), ConnState: rep.connState}
	go func() { _ = server.Serve(l) }() // ends with the listener
	rep.rec.note("replica %s of %s, version %s, starts at %s", id, rep.service, version, rep.addr())
	rep.announce()
	return nil
}

func (rep *replica) connState(c net.Conn, s http.ConnState) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	switch s {
	case http.StateNew:
		rep.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(rep.conns, c)
	}
}

// crash ends the replica at once: its channels are reset and nothing listens any more. It returns false if the replica was not up.
func (rep *replica) crash(cause string) bool {
	rep.mu.Lock()
	if !rep.up {
		rep.mu.Unlock()
		return false
	}
	rep.up = false
	id := rep.id
	_ = rep.listener.Close() // ends the server
	for c := range rep.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // resets the channel
		}
		_ = c.Close() // is open
	}
	rep.conns = map[net.Conn]struct{}{}
	rep.mu.Unlock()
	rep.rec.note("replica %s ends: %s", id, cause)
	return true
}

// currentID returns the id of the replica's last start.
func (rep *replica) currentID() string {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.id
}

// softwareVersion returns the version of the replica's software.
func (rep *replica) softwareVersion() string {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.version
}

// setCutOff cuts the replica's announcements off from the core, or ends that.
func (rep *replica) setCutOff(off bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.cutOff = off
}

// awaitAcknowledged waits until a liveness report has just been acknowledged.
func (rep *replica) awaitAcknowledged() {
	acknowledged := func() time.Time {
		rep.mu.Lock()
		defer rep.mu.Unlock()
		return rep.lastAck
	}
	for seen := acknowledged(); acknowledged().Equal(seen); {
		time.Sleep(ackPoll)
	}
}

// handle takes a request: it answers reports itself, turns away what is meant for another replica, and serves the rest.
func (rep *replica) handle(w http.ResponseWriter, req *http.Request) {
	id := rep.currentID()
	w.Header().Set("X-Instance-Id", id)
	if requestID := req.Header.Get("X-Request-Id"); requestID != "" {
		w.Header().Set("X-Request-Id", requestID)
	}
	if strings.HasPrefix(req.URL.Path, "/-/") {
		rep.report(w, req)
		return
	}
	if named := req.Header.Get("X-Target-Instance"); named != "" && named != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: req.Header.Get("X-Request-Id"), path: req.URL.Path, parts: req.Header.Get("X-Prompt-Prefix"), replica: id, at: time.Now()}
	rep.mu.Lock()
	rep.arrivals = append(rep.arrivals, a)
	rep.running++
	running := rep.running
	rep.mu.Unlock()
	defer func() {
		rep.mu.Lock()
		rep.running--
		rep.mu.Unlock()
	}()
	rep.rec.note("replica %s gets request %s, %s %s", id, a.id, req.Method, a.path)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, replicaSlots))
	rep.serve(rep, w, req)
}

// report answers the calls that are no requests.
func (rep *replica) report(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/-/report" {
		w.WriteHeader(http.StatusOK)
		return
	}
	rep.mu.Lock()
	body := map[string]any{
		"stage": "decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waitingReqs": 0, "runningReqs": rep.running, "kvUsed": 0, "kvTotal": 600000, "handles": 0, "born": rep.born,
	}
	rep.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller sees what is missing
}

// beat announces the replica until the run ends.
func (rep *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for range ticker.C {
		rep.announce()
	}
}

// announce sends one liveness report, to one machine of the core after the other until one acknowledges it.
func (rep *replica) announce() {
	rep.mu.Lock()
	if !rep.up || rep.cutOff {
		rep.mu.Unlock()
		return
	}
	rep.sequence++
	report := map[string]any{
		"service": rep.service, "addr": rep.addr(), "zone": rep.zone, "version": rep.version, "slots": replicaSlots, "state": rep.state, "coldLeftMs": 0,
		"sequence": rep.sequence, "born": rep.born,
	}
	if rep.engine {
		report["stage"] = "decode"
		report["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	id := rep.id
	rep.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		return
	}
	if rep.late > 0 { // it is on its way, whatever becomes of its sender
		time.AfterFunc(rep.late, func() { rep.deliver(id, body) })
		return
	}
	rep.deliver(id, body)
}

// deliver brings a liveness report to the core.
func (rep *replica) deliver(id string, body []byte) {
	first := rand.IntN(len(rep.c.voters))
	for i := range rep.c.voters {
		m := rep.c.voters[(first+i)%len(rep.c.voters)]
		if status, _ := rep.c.control(m, http.MethodPut, "/-/instances/"+id, bytes.Clone(body)); status == http.StatusOK {
			rep.mu.Lock()
			rep.lastAck = time.Now()
			rep.mu.Unlock()
			return
		}
	}
}

// requests returns what reached the replica so far.
func (rep *replica) requests() []arrival {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return append([]arrival(nil), rep.arrivals...)
}
