package requestclass

import (
	"testing"
	"time"
)

// TestClassDependsOnRouteAttributes checks the class of the most urgent route, and that a change of
// any attribute of the route changes the class.
func TestClassDependsOnRouteAttributes(t *testing.T) {
	declared := Route{Objective: 100 * time.Millisecond, Timeout: time.Second, TopK: 5, Repeatable: true}
	extra := ExtraAttempts{HedgePercentile: 0.9, LoadShare: 0.2}
	got := ForRoute(declared, extra)
	if got.Name != "0/100ms/1s/5" || got.Priority != 1 || got.Deadline != time.Second || got.HedgePercentile != 0.9 || got.ExtraLoad != 0.2 || !got.Repeatable {
		t.Errorf("got class %+v for route %+v and settings %+v", got, declared, extra)
	}
	for _, change := range []func(*Route){
		func(r *Route) { r.Priority++ }, func(r *Route) { r.Objective++ }, func(r *Route) { r.Timeout++ }, func(r *Route) { r.TopK++ },
	} {
		other := declared
		change(&other)
		if ForRoute(other, extra).Name == got.Name {
			t.Errorf("%+v has the same class as %+v", other, declared)
		}
	}
}
