// Package requestclass decides which requests share the latencies that the Dispatcher learns, and
// how urgent the requests are.
//
// Rule: requests belong to the same class if their routes have the same priority, objective,
// timeout and number of records. The priority of the class is one step less urgent than that of the
// route.
//
// Inputs: the attributes of the route (times as durations), and the quantile and the ratio of the
// settings.
//
// Reason: routes with the same attributes do similar work, and a latency learned from all of them
// is known sooner than one per route. A configuration may have any number of routes.
package requestclass

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Route holds the attributes of a route that determine its class.
type Route struct {
	// Priority is the rank of the route; 0 is the most urgent.
	Priority  int
	Objective time.Duration
	Timeout   time.Duration
	// TopK is the number of records of an answer; zero if the answer has a single part.
	TopK int
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
}

// ExtraAttempts holds the settings for extra attempts.
type ExtraAttempts struct {
	// HedgePercentile is the quantile of latency, from 0 to 1, after which an attempt is late.
	HedgePercentile float64
	// LoadShare is the share of extra attempts that requests earn.
	LoadShare float64
}

// topClassPriority is the most urgent priority of a class. Class priorities count from 1 (see
// catalog.Class), route priorities from 0.
const topClassPriority = 1

// ForRoute returns the class of a route's requests.
func ForRoute(route Route, extra ExtraAttempts) catalog.Class {
	return catalog.Class{
		Name:            fmt.Sprintf("%d/%s/%s/%d", route.Priority, route.Objective, route.Timeout, route.TopK),
		Priority:        topClassPriority + route.Priority,
		Deadline:        route.Timeout,
		HedgePercentile: extra.HedgePercentile,
		ExtraLoad:       extra.LoadShare,
		Repeatable:      route.Repeatable,
	}
}
