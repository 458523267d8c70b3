package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceFault is a fault to inject into a number of requests. Lookups are only delayed.
type ServiceFault struct {
	Count  int           `json:"count"`  // requests that the fault applies to
	Delay  time.Duration `json:"delay"`  // delay before the request runs, in nanoseconds in JSON
	Before bool          `json:"before"` // reset the connection before the request runs
	After  bool          `json:"after"`  // reset the connection after the run, before the response
}

// RunRecord is the record of one execution of a request.
type RunRecord struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is a fake plain HTTP service. It records every payment, booking and claim that it
// runs. It ignores idempotency keys, so that a request that is sent twice runs twice and a
// test can detect it. It is safe for concurrent use.
type Service struct {
	Limit RateLimit

	addr    string
	handler http.Handler

	mu      sync.Mutex
	server  *http.Server // nil while the service is down
	closed  bool
	crashes int
	runs    []RunRecord
	fault   ServiceFault
}

// StartService serves a fake plain service on addr until Close.
func StartService(addr string) (*Service, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Service{addr: l.Addr().String()}
	r := chi.NewRouter()
	requests := r.With(s.Limit.wrap)
	requests.Post("/payments", s.handleRun)
	requests.Post("/bookings", s.handleRun)
	requests.Post("/claims", s.handleRun)
	requests.Get("/postage/{code}", s.handleLookup)
	requests.Get("/claims/{code}", s.handleLookup)
	requests.Get("/crash", s.handleCrash)
	r.Post("/limit", s.Limit.handle)
	r.Get("/ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	r.Post("/fault", s.handleFault)
	s.handler = r
	s.serve(l)
	return s, nil
}

// serve serves on a listener until the service crashes or is closed. s.mu is held, or s not yet shared.
func (s *Service) serve(l net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	s.server = server
	go func() { _ = server.Serve(l) }() // returns on Close
}

// Addr returns the service's listen address.
func (s *Service) Addr() string { return s.addr }

// Close stops the service and resets its connections.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.server != nil {
		_ = s.server.Close() // connections are reset
	}
}

// Runs returns the requests that the service has run, in order.
func (s *Service) Runs() []RunRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RunRecord{}, s.runs...)
}

// RunCount returns the number of times that a request with the given idempotency key ran.
func (s *Service) RunCount(key string) int {
	n := 0
	for _, r := range s.Runs() {
		if r.Key == key {
			n++
		}
	}
	return n
}

// SetFault injects f into the next f.Count requests.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	s.fault = f
	s.mu.Unlock()
}

func (s *Service) handleFault(w http.ResponseWriter, r *http.Request) {
	var f ServiceFault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

// takeFault returns the fault to inject into the next request.
func (s *Service) takeFault() ServiceFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Count == 0 {
		return ServiceFault{}
	}
	s.fault.Count--
	return s.fault
}

// handleRun runs and records a request that is not idempotent.
func (s *Service) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f := s.takeFault()
	time.Sleep(f.Delay)
	if f.Before {
		panic(http.ErrAbortHandler) // resets the connection
	}
	s.mu.Lock()
	s.runs = append(s.runs, RunRecord{Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body)})
	n := len(s.runs)
	s.mu.Unlock()
	if f.After {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, map[string]any{"recorded": n, "path": r.URL.Path})
}

// handleLookup serves an idempotent lookup, which is not recorded.
func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.takeFault().Delay)
	writeJSON(w, http.StatusOK, map[string]string{"code": chi.URLParam(r, "code"), "status": "arrived"})
}
