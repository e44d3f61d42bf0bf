package losses

import (
	"cmp"
	"maps"
	"slices"
)

// group adds up parts by name.
type group map[string]*Part

func (g group) add(name string, lost float64) {
	part := g[name]
	if part == nil {
		part = &Part{Name: name}
		g[name] = part
	}
	part.Requests++
	part.Lost += lost
}

// order sorts parts.
type order func(a, b Part) int

// byLoss puts the greatest loss first.
func byLoss(a, b Part) int { return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name)) }

func byName(a, b Part) int { return cmp.Compare(a.Name, b.Name) }

// parts returns those that lost anything.
func (g group) parts(by order) []Part {
	parts := []Part{}
	for _, part := range slices.Collect(maps.Values(g)) {
		if part.Lost > 0 {
			parts = append(parts, *part)
		}
	}
	slices.SortFunc(parts, by)
	return parts
}

// groups are the ways in which losses are added up.
type groups struct{ cause, route, second, node group }

func newGroups() *groups {
	return &groups{cause: make(group), route: make(group), second: make(group), node: make(group)}
}
