package store

import "time"

// IgnoreCompares makes every compare of a transaction succeed, so that a test can verify that the
// linearizability check detects the fault.
func (s *Server) IgnoreCompares() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.database.ignoreCompares = true
}

// StartRefusing starts to refuse calls for an hour and leaves the open connections open, which is
// the state of the server between a RefuseFor request and the closing of its connections.
func (s *Server) StartRefusing() { s.startRefusing(time.Hour) }
