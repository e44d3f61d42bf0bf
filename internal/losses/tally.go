package losses

import (
	"cmp"
	"maps"
	"slices"
)

// tally sums up losses by the name of the group.
type tally map[string]*Group

// add adds the loss of a request to a group. A request without a loss counts as a request only.
func (t tally) add(name string, lost float64) {
	group := t[name]
	if group == nil {
		group = &Group{Name: name}
		t[name] = group
	}
	group.Requests++
	group.Lost += lost
}

// compareFunc compares two groups for sorting.
type compareFunc func(a, b Group) int

// compareLoss sorts by descending loss, then by name.
func compareLoss(a, b Group) int {
	return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name))
}

func compareName(a, b Group) int { return cmp.Compare(a.Name, b.Name) }

// sorted returns the groups with a loss, sorted by compare.
func (t tally) sorted(compare compareFunc) []Group {
	groups := []Group{}
	for _, group := range slices.Collect(maps.Values(t)) {
		if group.Lost > 0 {
			groups = append(groups, *group)
		}
	}
	slices.SortFunc(groups, compare)
	return groups
}

// tallies holds one tally for each dimension of the report.
type tallies struct{ cause, route, second, node tally }

func newTallies() *tallies {
	return &tallies{cause: make(tally), route: make(tally), second: make(tally), node: make(tally)}
}
