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
			t.Errorf("label for %q: got %q, want %q", name, got, want)
		}
	}
	if values.bound("route-0") != "route-0" {
		t.Error("label for \"route-0\": got another value once the set was full, want it kept")
	}
}
