package leaf

// Control applies a request like POST /control does, except that it replaces all faults instead of
// only the fields present in the JSON.
func (s *Server) Control(control ControlRequest) {
	s.faults.update(func(faults *Faults) { *faults = control.Faults })
	s.applyControl(control)
}

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.get() }
