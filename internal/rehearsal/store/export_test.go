package store

import "time"

// IgnoreCompares makes every transaction succeed whatever it compares, so that
// tests can see the proofs fail.
func (s *Server) IgnoreCompares() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.database.ignoreCompares = true
}

// BeginRefusal is the moment between the order to refuse connections and the
// end of those that are open.
func (s *Server) StartRefusing() { s.startRefusing(time.Hour) }
