package catalog

// operation is what every member of the Command union can do.
type operation interface {
	// validate checks what can be checked without a catalog.
	validate() error
	// statement returns the canonical text in the command language.
	formatStatement() string
	// apply makes the change on a copy of the catalog.
	apply(*editor) error
}

// operation returns the member that is set, or an error if not exactly one is.
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
		return nil, newError(CodeInvalid, "command", "a command must have exactly one member, this one has %d", len(members))
	}
	return members[0], nil
}

// Validate checks what can be checked without a catalog: that exactly one
// member is set, the syntax of names and the limits of numbers. Its errors are
// of type *Error.
func (c Command) Validate() error {
	op, err := c.selectOperation()
	if err != nil {
		return err
	}
	return op.validate()
}

// String returns the canonical text of the command in the command language;
// for a valid command, the language parses it back to the same value.
func (c Command) String() string {
	op, err := c.selectOperation()
	if err != nil {
		return "invalid command"
	}
	return op.formatStatement()
}
