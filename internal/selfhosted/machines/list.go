// Package machines is the client of the platform's machine list: a lagging
// list of live and leaving machines, over HTTP with JSON.
//
// It owns the last list that was read. What a leaving machine means for a leaf
// is decided in package topology.
package machines

import (
	"fmt"
	"net/netip"
)

// ListPath is where the list is read by GET.
const ListPath = "/v1/machines"

// Kind says what runs on a machine.
type Kind string

// The kinds of machine.
const (
	KindLeaf Kind = "leaf"
	KindNode Kind = "node"
)

// State is the state that the platform reports of a machine.
type State string

// The states of a machine.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Machine is one entry of the list.
type Machine struct {
	Address netip.AddrPort `json:"address"`
	Kind    Kind           `json:"kind"`
	State   State          `json:"state"`
	// BootID changes with every start of the machine; empty if unknown.
	BootID string `json:"boot_id,omitempty"`
}

// Check reports what is wrong with an entry: an address that is none, or a
// kind or state that is not known.
func (m Machine) Check() error {
	switch {
	case !m.Address.IsValid() || m.Address.Port() == 0:
		return fmt.Errorf("machine %q: expected an IP address with a port", m.Address)
	case m.Kind != KindLeaf && m.Kind != KindNode:
		return fmt.Errorf("machine %s: expected kind leaf or node, found %q", m.Address, m.Kind)
	case m.State != StateLive && m.State != StateLeaving && m.State != StateGone:
		return fmt.Errorf("machine %s: expected state live, leaving or gone, found %q", m.Address, m.State)
	default:
		return nil
	}
}

// List is one reading of the machine list.
type List struct {
	// AsOfUnixMilliseconds is the platform's clock when the list was true.
	AsOfUnixMilliseconds int64     `json:"as_of_unix_ms"`
	Machines             []Machine `json:"machines"`
}

// Check reports the first entry that is wrong.
func (l List) Check() error {
	for _, machine := range l.Machines {
		if err := machine.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the entry of an address.
func (l List) Find(address netip.AddrPort) (Machine, bool) {
	for _, machine := range l.Machines {
		if machine.Address == address {
			return machine, true
		}
	}
	return Machine{}, false
}
