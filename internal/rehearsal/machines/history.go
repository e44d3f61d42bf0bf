package machines

import (
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/machines"
)

// listVersion is one version of the list. It is immutable after it has been appended to a history.
type listVersion struct {
	validFrom time.Time
	machines  []machines.Machine
}

// history holds all versions of the list, with the newest last.
type history struct {
	versions []listVersion
}

func newHistory(initial []machines.Machine, now time.Time) *history {
	return &history{versions: []listVersion{{validFrom: now, machines: slices.Clone(initial)}}}
}

// listAt returns the version of the list that was valid at the moment, or the first version if the
// moment is before the start.
func (h *history) listAt(moment time.Time) machines.List {
	current := h.versions[0]
	for _, candidate := range h.versions {
		if !candidate.validFrom.After(moment) {
			current = candidate
		}
	}
	return machines.List{AsOfUnixMilliseconds: moment.UnixMilli(), Machines: current.machines}
}

// apply appends a new version with the changes of a request.
func (h *history) apply(request ControlRequest, now time.Time) {
	list := slices.Clone(h.versions[len(h.versions)-1].machines)
	for _, added := range request.Add {
		list = slices.DeleteFunc(list, hasAddress(added.Address))
		list = append(list, added)
	}
	setState(list, request.Leave, machines.StateLeaving)
	setState(list, request.Gone, machines.StateGone)
	for _, address := range request.Remove {
		list = slices.DeleteFunc(list, hasAddress(address))
	}
	h.versions = append(h.versions, listVersion{validFrom: now, machines: list})
}

func hasAddress(address netip.AddrPort) func(machines.Machine) bool {
	return func(machine machines.Machine) bool { return machine.Address == address }
}

func setState(list []machines.Machine, addresses []netip.AddrPort, state machines.State) {
	for index := range list {
		if slices.Contains(addresses, list[index].Address) {
			list[index].State = state
		}
	}
}
