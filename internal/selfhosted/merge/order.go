package merge

import (
	"slices"

	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// rowOrder compares rows by a list of sort keys.
type rowOrder struct {
	sortKeys []sortKey
}

// sortKey is a column index with its direction.
type sortKey struct {
	column     int
	descending bool
}

// newRowOrder resolves the terms of an "order by" to columns, and appends the columns from
// index tieBreak on, as far as they are not among the terms, to break ties.
func newRowOrder(orderBy []language.Order, columns []string, tieBreak int) (*rowOrder, error) {
	o := new(rowOrder)
	for _, order := range orderBy {
		index := slices.Index(columns, order.Item.String())
		if index < 0 {
			return nil, &UnknownColumnError{Column: order.Item.String()}
		}
		o.sortKeys = append(o.sortKeys, sortKey{column: index, descending: order.Descending})
	}
	for index := tieBreak; index < len(columns); index++ {
		if !o.includesColumn(index) {
			o.sortKeys = append(o.sortKeys, sortKey{column: index})
		}
	}
	return o, nil
}

// includesColumn reports whether the column is among the sort keys.
func (o *rowOrder) includesColumn(index int) bool {
	return slices.ContainsFunc(o.sortKeys, func(key sortKey) bool { return key.column == index })
}

func (o *rowOrder) compare(a, b rows.Row) int {
	for i := range o.sortKeys {
		key := &o.sortKeys[i]
		order := compareValues(&a[key.column], &b[key.column])
		switch {
		case order == 0:
			continue
		case key.descending:
			return -order
		default:
			return order
		}
	}
	return 0
}

// compareValues is equivalent to rows.Compare. It avoids copying the values if both are
// numbers, the usual type of the first sort key.
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

func (o *rowOrder) sort(tableRows []rows.Row) { slices.SortFunc(tableRows, o.compare) }

func (o *rowOrder) isSorted(tableRows []rows.Row) bool {
	return slices.IsSortedFunc(tableRows, o.compare)
}
