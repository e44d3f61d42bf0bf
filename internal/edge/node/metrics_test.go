package node

import (
	"fmt"
	"testing"
)

func TestRouteLabelsAreBounded(t *testing.T) {
	labels := make(routeLabels)
	for number := range 2 * maxRouteLabels {
		name := fmt.Sprint("route-", number)
		want := name
		if number >= maxRouteLabels {
			want = otherRoutes
		}
		if got := labels.of(name); got != want {
			t.Errorf("%s: %s", name, got)
		}
	}
	if labels.of("route-0") != "route-0" {
		t.Error("a label is not kept")
	}
}
