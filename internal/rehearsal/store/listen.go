package store

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// relistenInterval is the time between two tries to listen again.
const relistenInterval = 20 * time.Millisecond

func (s *Server) newHTTP() *http.Server {
	return &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
}

// serve serves on the listener, and again on the same address after each time
// of refused connections, until Close.
func (s *Server) serve(listener net.Listener) {
	for listener != nil {
		s.mutex.Lock()
		server := s.http
		s.mutex.Unlock()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("store stand-in stopped", "error", err)
			return
		}
		listener = s.listenAgain()
	}
}

// listenAgain waits out the refusal; nil if the stand-in was closed.
func (s *Server) listenAgain() net.Listener {
	s.mutex.Lock()
	wait := s.refuseFor
	s.mutex.Unlock()
	for s.wait(wait) {
		listener, err := net.Listen("tcp", s.address)
		if err == nil {
			return s.reopen(listener)
		}
		wait = relistenInterval
	}
	return nil
}

// wait is false if the stand-in was closed by its end.
func (s *Server) wait(duration time.Duration) bool {
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
func (s *Server) reopen(listener net.Listener) net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case <-s.stopped:
		_ = listener.Close()
		return nil
	default:
		s.http = s.newHTTP()
		s.refusing = false
		return listener
	}
}

// refuse breaks every connection and refuses new ones for the given time. What
// the store holds stays.
func (s *Server) refuse(duration time.Duration) {
	s.beginRefusal(duration)
	s.closeHTTP()
}

// beginRefusal lets no call have an effect from now on.
func (s *Server) beginRefusal(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refuseFor = duration
	s.refusing = true
}

func (s *Server) closeHTTP() {
	s.mutex.Lock()
	server := s.http
	s.mutex.Unlock()
	_ = server.Close()
}
