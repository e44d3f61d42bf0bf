package leaf

// Control changes faults and holdings, as POST /control does. The faults are
// those given, all of them.
func (s *Server) Control(control Control) {
	s.faults.update(func(faults *Faults) { *faults = control.Faults })
	s.applyControl(control)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.get() }
