package membership

// Members returns all members that are not gone, including this node, in order of their names. The
// list must not be modified.
func (s *Service) Members() []Member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Members()
}

// Lookup returns the record of a member, including a member that is gone.
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

// Joined reports whether this node has received a packet from another node, or has no seeds.
func (s *Service) Joined() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Joined()
}

// Superseded reports whether a process with a higher incarnation holds the name of this node.
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

// Statistics returns the counters of the core and its health score.
func (s *Service) Statistics() Statistics {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Statistics()
}
