package forward

import (
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/requestclass"
	"github.com/micaplank/micaplank/internal/decide/timeleft"
	"github.com/micaplank/micaplank/internal/edge/http1"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// planQuery builds the query for a request.
func (f *Forwarder) planQuery(matched *route.Route, request *Request) scatter.Request[*Request] {
	class := f.buildClass(matched)
	objective := f.computeObjective(matched, class.Name, request)
	request.Route = matched.Name
	if request.History == nil {
		request.History = new(http1.History)
	}
	request.TopK, request.Floor = 0, nil
	if len(matched.Shards) > 0 {
		request.TopK, request.Floor = matched.TopK, f.estimators.estimateFloor(class.Name)
	}
	return scatter.Request[*Request]{
		RequestID:       request.ID,
		Class:           class,
		Payload:         request,
		Shards:          f.resolveShards(matched),
		Timeout:         f.computeTimeout(matched, request),
		Objective:       objective,
		HedgeDelay:      time.Duration(f.config.HedgeShare * float64(matched.Objective)),
		MaximumSends:    matched.MaxAttempts,
		MinimumCoverage: matched.MinCoverage,
	}
}

// computeTimeout returns how long the request may run from now on.
func (f *Forwarder) computeTimeout(matched *route.Route, request *Request) time.Duration {
	return timeleft.Timeout(matched.Timeout, request.ClientTimeout, f.timeSinceArrival(request))
}

// computeObjective returns the time from now on within which an answer has its full value. It is
// zero if that time has passed or the route has no objective.
func (f *Forwarder) computeObjective(matched *route.Route, className string, request *Request) time.Duration {
	return timeleft.Objective(matched.Objective, timeleft.Spent{
		BeforeArrival: f.estimators.estimateBeforeArrival(className, request.ClientTimeout),
		SinceArrival:  f.timeSinceArrival(request),
		RelayTime:     request.RelayTime,
		ClientLink:    f.config.ClientAllowance,
	})
}

// timeSinceArrival returns how long this node has had the request.
func (f *Forwarder) timeSinceArrival(request *Request) time.Duration {
	if request.ClientTimeout == 0 {
		return 0 // the request carries no arrival time
	}
	return f.config.Clock.Now() - request.ArrivedAt
}

func (f *Forwarder) resolveShards(matched *route.Route) []int {
	if len(matched.Shards) == 0 {
		return []int{f.index.Assign(f.splitter.PickService(matched))}
	}
	shards := make([]int, len(matched.Shards))
	for position, service := range matched.Shards {
		shards[position] = f.index.Assign(service)
	}
	return shards
}

func (f *Forwarder) buildClass(matched *route.Route) catalog.Class {
	declared := requestclass.Route{
		Priority: matched.Priority, Objective: matched.Objective, Timeout: matched.Timeout,
		TopK: matched.TopK, Repeatable: matched.Repeatable,
	}
	return requestclass.ForRoute(declared, requestclass.ExtraAttempts{HedgePercentile: f.config.HedgePercentile, LoadShare: f.config.ExtraLoad})
}
