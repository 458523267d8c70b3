package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatInterval is the heartbeatMs of the settings.
	beatInterval = 1200 * time.Millisecond
	// swapTime is the swapS of the manifest.
	swapTime = 3 * time.Second
)

// replica is a server of a service. It behaves as the pages say, and crashes and starts again at the same address when it is
// told to.
type replica struct {
	id, service, zone, addr string
	slots                   int
	engine                  bool
	controls                func() []string
	rec                     *record
	serve                   func(w http.ResponseWriter, r *http.Request) // a request that it runs
	acked                   func(control string)                         // called when a report has been acknowledged; may be nil

	mu       sync.Mutex
	up       bool
	version  string
	stage    string
	born     int64
	sequence uint64
	orders   uint64
	busy     bool
	draining bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopBeat chan struct{}
	running  atomic.Int64
	arrivals atomic.Int64
	next     int // control node of the next report
}

// trackedListener remembers the connections of a replica.
type trackedListener struct {
	net.Listener
	r *replica
}

func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.r.mu.Lock()
	l.r.conns[c] = struct{}{}
	l.r.mu.Unlock()
	return c, nil
}

// start starts the replica's process, as a new boot with the given version of its software.
func (r *replica) start(version string) error {
	l, err := net.Listen("tcp", r.addr)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", r.addr)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.addr = l.Addr().String()
	r.up, r.version, r.born, r.sequence, r.orders, r.busy, r.draining = true, version, time.Now().UnixMilli(), 0, 0, false, false
	r.listener, r.conns, r.stopBeat = l, map[net.Conn]struct{}{}, make(chan struct{})
	if r.engine {
		r.stage = "decode"
	}
	stop := r.stopBeat
	r.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func() { _ = server.Serve(trackedListener{l, r}) }()
	go r.beat(stop)
	r.rec.line("replica %s starts as %s at %s", r.id, version, r.addr)
	return nil
}

// crash ends the replica's process: it says nothing, and its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	close(r.stopBeat)
	_ = r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.rec.line("replica %s crashes", r.id)
}

// leave drains the replica as the pages describe and ends it.
func (r *replica) leave(drain time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.report()
	time.Sleep(drain)
	for r.running.Load() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	r.call(http.MethodDelete, "")
	r.crash()
}

// beat reports the replica at once and then at every interval.
func (r *replica) beat(stop chan struct{}) {
	for {
		r.report()
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

func (r *replica) report() {
	r.mu.Lock()
	body := map[string]any{"service": r.service, "addr": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready", "coldLeftMs": 0, "sequence": r.sequence, "born": r.born}
	if r.draining {
		body["state"] = "draining"
	}
	if r.engine {
		body["stage"] = r.stage
		body["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	r.sequence++
	up := r.up
	r.mu.Unlock()
	if !up {
		return
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	r.call(http.MethodPut, string(data))
}

// call sends what the replica says of itself to one control node after the other until one acknowledges it.
func (r *replica) call(method, body string) {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	controls := r.controls()
	for range controls {
		addr := controls[r.next%len(controls)]
		req, err := http.NewRequest(method, "http://"+addr+"/-/instances/"+r.id, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				if r.acked != nil {
					r.acked(addr)
				}
				return
			}
		}
		r.next++
	}
}

// handle answers one request at the replica's address.
func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", r.id)
		r.setLoad(w)
		return
	case req.URL.Path == "/-/report":
		r.serveReport(w)
		return
	case req.URL.Path == "/-/order":
		r.serveOrder(w, req)
		return
	case strings.HasPrefix(req.URL.Path, "/-/kv-handle/"):
		return
	}
	r.arrivals.Add(1)
	w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
	w.Header().Set("X-Instance-Id", r.id)
	if id := req.Header.Get("X-Target-Instance"); id != "" && id != r.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.mu.Lock()
	stage, busy := r.stage, r.busy
	r.mu.Unlock()
	if r.engine && (busy || r.running.Load() >= int64(r.slots)) {
		w.Header().Set("X-Not-Executed", "1")
		r.setLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if wants := req.Header.Get("X-Stage"); r.engine && (wants == "prefill") != (stage == "prefill") {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if stage == "prefill" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"copyHandle":"%x","tokens":383,"version":1}`, time.Now().UnixNano())
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.setLoad(w)
	w.Header().Set("X-Response-Signature", "signed."+r.id+"."+req.Header.Get("X-Request-Id"))
	r.serve(w, req)
}

func (r *replica) setLoad(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots))
}

func (r *replica) serveReport(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": r.stage, "busy": r.busy, "sequence": r.orders, "waitingReqs": 0, "runningReqs": r.running.Load(), "kvUsed": 0, "kvTotal": 656048, "handles": 0, "born": r.born,
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Opcode       string  `json:"opcode"`
		Stage        string  `json:"stage"`
		Holder       string  `json:"holder"`
		Token        *uint64 `json:"fencingToken"`
		Precondition *uint64 `json:"precondition"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Token == nil || o.Opcode != "stage" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := req.Header.Get("X-Target-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.line("replica %s gets an order: %s by %s, token %d", r.id, o.Stage, o.Holder, *o.Token)
	switch {
	case r.busy || o.Precondition != nil && *o.Precondition != r.orders:
		w.WriteHeader(http.StatusConflict)
	case r.stage == o.Stage:
		w.WriteHeader(http.StatusOK)
	default:
		r.busy = true
		r.orders++
		born := r.born
		time.AfterFunc(swapTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born {
				r.stage, r.busy = o.Stage, false
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// software returns the version that runs now.
func (r *replica) software() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// streamEvents returns a handler that streams the pieces after the one that Last-Event-Id names. Each piece names the
// request, the replica and the version of its software.
func (r *replica) streamEvents(pieces int, pause time.Duration) func(w http.ResponseWriter, req *http.Request) {
	return func(w http.ResponseWriter, req *http.Request) {
		version := r.software()
		id := req.Header.Get("X-Request-Id")
		after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // without it, the stream begins
		r.rec.line("replica %s (%s) runs %s after event %d", r.id, version, id, after)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := after + 1; n <= pieces; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", n, id, r.id, version); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			select {
			case <-req.Context().Done():
				return
			case <-time.After(pause):
			}
		}
	}
}
