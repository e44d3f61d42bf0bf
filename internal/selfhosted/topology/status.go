package topology

import (
	"cmp"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Status is the state of a leaf in the view of this node.
type Status string

const (
	StatusUsable      Status = "usable"
	StatusCold        Status = "cold"
	StatusLeaving     Status = "leaving"
	StatusUnreachable Status = "unreachable"
	// StatusUnknown leaves have neither answered nor failed a poll, and no source reported them as
	// leaving.
	StatusUnknown Status = "unknown"
)

// LeafStatus describes one leaf of one service for status pages.
type LeafStatus struct {
	Service string
	Leaf    catalog.Leaf
	Status  Status
	Reason  string
	Report  leaf.LoadReport
}

// ServiceTopology returns the leaves and partitions that the dispatcher of a service may use now.
// It returns false if the catalog does not contain the service.
func (t *Table) ServiceTopology(now Time, name string) (dispatch.Topology, bool) {
	service, ok := t.catalog.Services[name]
	if !ok {
		return dispatch.Topology{}, false
	}
	topology := dispatch.Topology{
		Revision:    t.catalog.Revision,
		Partitions:  service.Partitions,
		Concurrency: service.Concurrency,
		Stopped:     service.Stopped,
		Leaves:      make([]dispatch.Leaf, 0, len(service.Leaves)),
	}
	for _, configured := range service.SortedLeaves() {
		topology.Leaves = append(topology.Leaves, t.dispatchLeaf(now, configured))
	}
	return topology, true
}

func (t *Table) dispatchLeaf(now Time, configured catalog.Leaf) dispatch.Leaf {
	status, _ := t.status(now, configured)
	result := dispatch.Leaf{
		Address: configured.Address,
		Zone:    configured.Zone,
		Usable:  status == StatusUsable || status == StatusCold,
		Cold:    status == StatusCold,
	}
	if state := t.leafStates[configured.Address]; state != nil {
		result.BootID = state.report.BootID
		result.Slots = state.report.Slots
		result.Holdings = state.report.Holdings
	}
	return result
}

// status returns the status of a leaf and the reason for it.
func (t *Table) status(now Time, configured catalog.Leaf) (Status, string) {
	if configured.Retiring {
		return StatusLeaving, string(SourceCatalog)
	}
	state := t.leafStates[configured.Address]
	switch {
	case state == nil || !state.hasReport && state.leaving == nil && state.failedPolls == 0:
		return StatusUnknown, "no report yet"
	case state.leaving != nil:
		return StatusLeaving, string(state.leaving.source)
	case !state.hasReport || state.failedPolls >= t.config.UnreachableAfter:
		return StatusUnreachable, "load polls fail"
	case now-state.reportedAt > t.config.ReportLifetime:
		return StatusUnreachable, "report too old"
	case state.report.State == leaf.StateCold:
		return StatusCold, string(SourceReport)
	}
	return StatusUsable, ""
}

// Statuses returns the status of every leaf of every service, in order of service and address.
func (t *Table) Statuses(now Time) []LeafStatus {
	var statuses []LeafStatus
	for name, service := range t.catalog.Services {
		for _, configured := range service.Leaves {
			statuses = append(statuses, t.leafStatus(now, name, configured))
		}
	}
	slices.SortFunc(statuses, func(a, b LeafStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Leaf.Address.Compare(b.Leaf.Address))
	})
	return statuses
}

func (t *Table) leafStatus(now Time, service string, configured catalog.Leaf) LeafStatus {
	result := LeafStatus{Service: service, Leaf: configured}
	result.Status, result.Reason = t.status(now, configured)
	if state := t.leafStates[configured.Address]; state != nil {
		result.Report = state.report
	}
	return result
}
