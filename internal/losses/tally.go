package losses

import (
	"cmp"
	"maps"
	"slices"
)

// group adds up parts by name.
type tally map[string]*Group

func (t tally) add(name string, lost float64) {
	group := t[name]
	if group == nil {
		group = &Group{Name: name}
		t[name] = group
	}
	group.Requests++
	group.Lost += lost
}

// order sorts parts.
type compareFunc func(a, b Group) int

// byLoss puts the greatest loss first.
func compareLoss(a, b Group) int {
	return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name))
}

func compareName(a, b Group) int { return cmp.Compare(a.Name, b.Name) }

// parts returns those that lost anything.
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

// groups are the ways in which losses are added up.
type tallies struct{ cause, route, second, node tally }

func newTallies() *tallies {
	return &tallies{cause: make(tally), route: make(tally), second: make(tally), node: make(tally)}
}
