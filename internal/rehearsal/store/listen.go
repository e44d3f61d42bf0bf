package store

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// relistenInterval is the time between attempts to listen on the address again.
const relistenInterval = 20 * time.Millisecond

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{Handler: s.newHandler(), ReadHeaderTimeout: readHeaderTimeout}
}

// serve accepts connections until Close. After each period of refused connections it listens on the
// same address again.
func (s *Server) serve(listener net.Listener) {
	for listener != nil {
		s.mutex.Lock()
		server := s.httpServer
		s.mutex.Unlock()
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("fake store stopped serving", "error", err)
			return
		}
		listener = s.relisten()
	}
}

// relisten waits until the refusal period ends and listens on the address again. It returns nil if
// the server was closed.
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

// waitUnlessStopped waits for the duration and reports whether the server is still open. It returns
// early if the server closes.
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

// resumeServing creates the HTTP server for a new listener and ends the refusal. It closes the
// listener and returns nil if the server was closed in the meantime, because Close closes only the
// HTTP server that is current when it takes the mutex.
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

// refuseConnections closes every connection and refuses new ones for the given time. The data is
// kept.
func (s *Server) refuseConnections(duration time.Duration) {
	s.startRefusing(duration)
	s.closeHTTPServer()
}

// startRefusing rejects all further calls, including those on open connections.
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
