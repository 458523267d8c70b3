package standin

import (
	"net"
	"net/http"
	"time"
)

const (
	// crashTime is the time for which a service is down after a request has crashed it.
	crashTime = 1 * time.Second
	// relistenPause is the pause before a service tries its address again.
	relistenPause = 50 * time.Millisecond
)

// Crashes returns how many requests have crashed the service, and whether it is down.
func (s *Service) Crashes() (n int, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes, s.server == nil
}

// handleCrash crashes the service: all connections are reset and new ones refused. After crashTime it
// runs again at its address.
func (s *Service) handleCrash(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server != nil {
		s.crashes++
	}
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // connections in progress are reset
		time.AfterFunc(crashTime, s.restart)
	}
	panic(http.ErrAbortHandler)
}

// restart serves again at the service's address, unless it was closed.
func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		time.AfterFunc(relistenPause, s.restart) // an outgoing connection has the port
		return
	}
	s.serve(l)
}
