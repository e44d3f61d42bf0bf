package executors

import "slices"

// Status is what an executor reports of itself. Its field names are part of the protocol between
// nodes of different versions.
type Status struct {
	// Version is the version of the executor's configuration.
	Version uint64
	// Accepting is set if the executor accepts requests of other nodes.
	Accepting bool
	// Fresh is set if the executor is in contact with the store, so that its configuration and
	// leaves are the newest.
	Fresh bool
	// Cordoned lists the zones that the executor knows to be cordoned.
	Cordoned []string
}

// Terms are the conditions under which a request must run, because a caller must not be able to
// tell on which node its request ran. The field names are part of the protocol between nodes of
// different versions.
type Terms struct {
	// Version is the configuration version. A client of one node must not see an older version
	// after a newer one.
	Version uint64
	// Fresh is set if the node that received the request is in contact with the store. The node
	// that runs it must be in contact too. During an outage that affects both nodes, neither has
	// newer data than the other.
	Fresh bool
	// Cordoned lists the zones that the node which received the request knows to be cordoned.
	// The node that runs it must know them too, since it may otherwise learn of them only after
	// the request has started.
	Cordoned []string
}

// Accepts reports whether an executor with this status accepts requests under the terms.
func (s Status) Accepts(terms Terms) bool {
	return s.Accepting && s.Version == terms.Version && (s.Fresh || !terms.Fresh) && s.knowsCordoned(terms.Cordoned)
}

// knowsCordoned reports whether the executor knows that the zones are cordoned.
func (s Status) knowsCordoned(cordoned []string) bool {
	return !slices.ContainsFunc(cordoned, func(zone string) bool { return !slices.Contains(s.Cordoned, zone) })
}
