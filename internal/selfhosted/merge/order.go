package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// ordering compares rows by some of their columns.
type ordering struct {
	terms []orderTerm
}

type orderTerm struct {
	index      int
	descending bool
}

// newOrdering resolves an order by among the columns, then adds the columns
// from tieBreak on as tie breakers.
func newOrdering(orderBy []language.Order, columns []string, tieBreak int) (*ordering, error) {
	o := new(ordering)
	for _, order := range orderBy {
		index := slices.Index(columns, order.Item.String())
		if index < 0 {
			return nil, &UnknownColumnError{Column: order.Item.String()}
		}
		o.terms = append(o.terms, orderTerm{index: index, descending: order.Descending})
	}
	for index := tieBreak; index < len(columns); index++ {
		if !o.uses(index) {
			o.terms = append(o.terms, orderTerm{index: index})
		}
	}
	return o, nil
}

func (o *ordering) uses(index int) bool {
	return slices.ContainsFunc(o.terms, func(term orderTerm) bool { return term.index == index })
}

func (o *ordering) compare(a, b rows.Row) int {
	for i := range o.terms {
		term := &o.terms[i]
		order := compareValues(&a[term.index], &b[term.index])
		switch {
		case order == 0:
			continue
		case term.descending:
			return -order
		default:
			return order
		}
	}
	return 0
}

// compareValues is rows.Compare without the copies for numbers, which most
// orders begin with.
func compareValues(a, b *rows.Value) int {
	if a.Kind != rows.Number || b.Kind != rows.Number {
		return rows.Compare(*a, *b)
	}
	switch {
	case a.Number < b.Number:
		return -1
	case a.Number > b.Number:
		return 1
	default:
		return 0
	}
}

func (o *ordering) sort(unsorted []rows.Row) { slices.SortFunc(unsorted, o.compare) }

func (o *ordering) isSorted(candidate []rows.Row) bool {
	return slices.IsSortedFunc(candidate, o.compare)
}
