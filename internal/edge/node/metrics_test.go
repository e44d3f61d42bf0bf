package node

import (
	"fmt"
	"testing"
)

func TestRouteLabelsAreBounded(t *testing.T) {
	values := make(labelSet)
	for number := range 2 * maxLabelValues {
		name := fmt.Sprint("route-", number)
		want := name
		if number >= maxLabelValues {
			want = otherLabel
		}
		if got := values.bound(name); got != want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if values.bound("route-0") != "route-0" {
		t.Error("a label is not kept")
	}
}
