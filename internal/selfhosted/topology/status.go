package topology

import (
	"cmp"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// Status is a leaf's place in its life, as this node sees it.
type Status string

// The statuses.
const (
	StatusUsable      Status = "usable"
	StatusCold        Status = "cold"
	StatusLeaving     Status = "leaving"
	StatusUnreachable Status = "unreachable"
	StatusUnknown     Status = "unknown" // never heard of
)

// LeafStatus describes one leaf of one service for status pages.
type LeafStatus struct {
	Service string
	Leaf    catalog.Leaf
	Status  Status
	Reason  string
	Report  leaf.LoadReport
}

// Service returns what the dispatcher of a service may use at this moment. It
// reports false if the catalog has no such service.
func (t *Table) Service(now Time, name string) (dispatch.Topology, bool) {
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

// status decides a leaf's place in its life, and why.
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

// Statuses lists every leaf of every service, in order.
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
