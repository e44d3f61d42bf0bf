package membership

// Members returns all known members that are not gone, this node included,
// ordered by name. The list must not be modified.
func (s *Service) Members() []Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Members()
}

// Lookup returns what is known of a member, gone ones included.
func (s *Service) Lookup(name string) (Member, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Lookup(name)
}

// ViewHash returns a hash of the view; see Core.ViewHash.
func (s *Service) ViewHash() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.ViewHash()
}

// Self returns this node's own record.
func (s *Service) Self() Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Self()
}

// Joined reports whether this node has heard from any other, or has no seeds.
func (s *Service) Joined() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Joined()
}

// Superseded reports whether a newer process holds the name of this node.
func (s *Service) Superseded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Superseded()
}

// HeldZones returns the names of the zones that are held.
func (s *Service) HeldZones() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HeldZones()
}

// Statistics returns the counts of the core so far.
func (s *Service) Statistics() Statistics {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Statistics()
}
