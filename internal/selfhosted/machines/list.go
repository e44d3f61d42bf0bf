// Package machines is the client of the platform's machine list, which names live and leaving
// machines and is served over HTTP as JSON. The list lags behind the platform's state.
//
// The package keeps the last list that was read. Package topology decides the consequences of a
// leaving machine for a leaf.
package machines

import (
	"fmt"
	"net/netip"
)

// ListPath is the HTTP path of the list, which is read with GET.
const ListPath = "/v1/machines"

// Kind is the role of a machine.
type Kind string

// Machine roles.
const (
	KindLeaf Kind = "leaf"
	KindNode Kind = "node"
)

// State is the state of a machine as reported by the platform.
type State string

// Machine states.
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
	// BootID changes with every start of the machine. It is empty if unknown.
	BootID string `json:"boot_id,omitempty"`
}

// Validate returns an error if the entry has an invalid address, an unknown kind or an unknown
// state.
func (m Machine) Validate() error {
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

// List is one version of the machine list.
type List struct {
	// AsOfUnixMilliseconds is the platform's clock reading at which the list was current.
	AsOfUnixMilliseconds int64     `json:"as_of_unix_ms"`
	Machines             []Machine `json:"machines"`
}

// Validate returns the error of the first invalid entry.
func (l List) Validate() error {
	for _, machine := range l.Machines {
		if err := machine.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the entry with the given address.
func (l List) Find(address netip.AddrPort) (Machine, bool) {
	for _, machine := range l.Machines {
		if machine.Address == address {
			return machine, true
		}
	}
	return Machine{}, false
}
