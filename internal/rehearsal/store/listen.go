package store

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// relistenInterval is the time between two tries to listen again.
const relistenInterval = 20 * time.Millisecond

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{Handler: s.newHandler(), ReadHeaderTimeout: readHeaderTimeout}
}

// serve serves on the listener, and again on the same address after each time
// of refused connections, until Close.
func (s *Server) serve(listener net.Listener) {
	for listener != nil {
		s.mutex.Lock()
		server := s.httpServer
		s.mutex.Unlock()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("store stand-in stopped", "error", err)
			return
		}
		listener = s.relisten()
	}
}

// listenAgain waits out the refusal; nil if the stand-in was closed.
func (s *Server) relisten() net.Listener {
	s.mutex.Lock()
	wait := s.refuseDuration
	s.mutex.Unlock()
	for s.waitUnlessStopped(wait) {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return s.resumeServing(listener)
		}
		wait = relistenInterval
	}
	return nil
}

// wait is false if the stand-in was closed by its end.
func (s *Server) waitUnlessStopped(duration time.Duration) bool {
	select {
	case <-s.stopped:
	case <-time.After(duration):
	}
	select {
	case <-s.stopped:
		return false
	default:
		return true
	}
}

// reopen makes the server for a new listener, unless the stand-in was closed
// meanwhile: Close closes the server that it finds under the mutex.
func (s *Server) resumeServing(listener net.Listener) net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.stopped:
		_ = listener.Close()
		return nil
	default:
		s.httpServer = s.newHTTPServer()
		s.refusing = false
		return listener
	}
}

// refuse breaks every connection and refuses new ones for the given time. What
// the store holds stays.
func (s *Server) refuseConnections(duration time.Duration) {
	s.startRefusing(duration)
	s.closeHTTPServer()
}

// beginRefusal lets no call have an effect from now on.
func (s *Server) startRefusing(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuseDuration = duration
	s.refusing = true
}

func (s *Server) closeHTTPServer() {
	s.mutex.Lock()
	server := s.httpServer
	s.mutex.Unlock()
	_ = server.Close()
}
