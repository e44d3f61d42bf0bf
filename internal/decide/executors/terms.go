package executors

import "slices"

// Status is what an executor says of itself. Nodes of several versions send it to
// each other: its fields keep their names.
type Status struct {
	// Version is that of its configuration.
	Version uint64
	// Accepting says that it runs requests of others.
	Accepting bool
	// Fresh says that it is in touch with the store: its configuration and
	// leaves are the newest.
	Fresh bool
	// Cordoned lists the zones that it knows to be out of service.
	Cordoned []string
}

// Terms are what a request must be run under: what a caller sees of a node must not
// depend on where its request ran. Nodes of several versions send them to each
// other: their fields keep their names.
type Terms struct {
	// Version is the configuration: what a client sees of one node must not go
	// back to an older version.
	Version uint64
	// Fresh says that the node that received the request is in touch with the
	// store. Then the one that runs it must be, too. In an outage that affects
	// both, neither knows more than the other.
	Fresh bool
	// Cordoned lists the zones that the node which received the request knows to be
	// out of service. The one that runs it must know of them, too: it may learn
	// of them later.
	Cordoned []string
}

// Takes reports whether an executor of a status takes requests under the terms.
func (s Status) Takes(terms Terms) bool {
	return s.Accepting && s.Version == terms.Version && (s.Fresh || !terms.Fresh) && s.knowsCordoned(terms.Cordoned)
}

// knows reports whether the executor knows that zones are out of service.
func (s Status) knowsCordoned(cordoned []string) bool {
	return !slices.ContainsFunc(cordoned, func(zone string) bool { return !slices.Contains(s.Cordoned, zone) })
}
