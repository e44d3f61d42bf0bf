package store

// IgnoreCompares makes every transaction succeed whatever it compares, so that
// tests can see the proofs fail.
func (s *Server) IgnoreCompares() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.database.ignoreCompares = true
}
