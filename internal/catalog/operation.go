package catalog

// operation is implemented by every member of the Command union.
type operation interface {
	// validate checks the operation independent of a catalog.
	validate() error
	// formatStatement returns the canonical text in the command language.
	formatStatement() string
	// apply performs the operation on the editor's catalog.
	apply(*editor) error
}

// selectOperation returns the member that is set. It returns an error unless exactly one member is
// set.
func (c Command) selectOperation() (operation, error) {
	var members []operation
	add := func(set bool, member operation) {
		if set {
			members = append(members, member)
		}
	}
	add(c.CreateService != nil, c.CreateService)
	add(c.DropService != nil, c.DropService)
	add(c.Repartition != nil, c.Repartition)
	add(c.DefineClass != nil, c.DefineClass)
	add(c.DropClass != nil, c.DropClass)
	add(c.AddLeaf != nil, c.AddLeaf)
	add(c.RetireLeaf != nil, c.RetireLeaf)
	add(c.RemoveLeaf != nil, c.RemoveLeaf)
	add(c.LimitService != nil, c.LimitService)
	add(c.StopService != nil, c.StopService)
	add(c.StartService != nil, c.StartService)
	add(c.AddVoter != nil, c.AddVoter)
	add(c.RemoveVoter != nil, c.RemoveVoter)
	if len(members) != 1 {
		return nil, newError(CodeInvalid, "command", "a command must have exactly one member, got %d", len(members))
	}
	return members[0], nil
}

// Validate checks the command independent of a catalog: exactly one member is set, names are well
// formed and numbers are in range. Its errors are of type *Error.
func (c Command) Validate() error {
	op, err := c.selectOperation()
	if err != nil {
		return err
	}
	return op.validate()
}

// String returns the canonical text of the command in the command language. The text of a valid
// command parses to an equal command.
func (c Command) String() string {
	op, err := c.selectOperation()
	if err != nil {
		return "invalid command"
	}
	return op.formatStatement()
}
