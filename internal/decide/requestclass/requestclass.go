// Package requestclass decides which requests the Dispatcher learns latencies from
// together, and how urgent they are.
//
// The rule: requests belong to one class if their routes have the same priority,
// objective, timeout and number of records. The class is one step less urgent than
// the priority of the route.
//
// Inputs: what the route declares (times as durations), and the quantile and the ratio
// of the settings.
//
// Reason: routes of the same kind do work of the same kind, and a latency that is
// learned from all of them is known sooner than one of each. Not measured: chosen
// because a configuration may have any number of routes.
package requestclass

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Route is what a route declares.
type Route struct {
	// Priority is its rank; 0 is the most urgent.
	Priority  int
	Objective time.Duration
	Timeout   time.Duration
	// TopK is the number of records of an answer; zero if the answer is one part.
	TopK int
	// Repeatable says whether a request may run more than once.
	Repeatable bool
}

// Extra is what the settings say of second attempts.
type Extra struct {
	// HedgePercentile is the quantile of latency, from 0 to 1, after which an attempt
	// counts as late.
	HedgePercentile float64
	// Load is the share of extra attempts that requests earn.
	Load float64
}

// firstPriority is the most urgent priority of a class (catalog.Class counts from 1),
// where routes count from 0.
const topClassPriority = 1

// Of returns the class of a route's requests.
func Of(route Route, extra Extra) catalog.Class {
	return catalog.Class{
		Name:            fmt.Sprintf("%d/%s/%s/%d", route.Priority, route.Objective, route.Timeout, route.TopK),
		Priority:        topClassPriority + route.Priority,
		Deadline:        route.Timeout,
		HedgePercentile: extra.HedgePercentile,
		ExtraLoad:       extra.Load,
		Repeatable:      route.Repeatable,
	}
}
