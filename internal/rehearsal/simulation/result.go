package simulation

import "github.com/micaplank/micaplank/internal/decide/dispatch"

// QuantilePoints are the quantiles at which latencies are kept.
var QuantilePoints = quantilePoints()

func quantilePoints() []float64 {
	var points []float64
	for percent := 0; percent < 90; percent += 5 {
		points = append(points, float64(percent)/100)
	}
	for percent := 90; percent < 99; percent++ {
		points = append(points, float64(percent)/100)
	}
	for permille := 990; permille <= 1000; permille++ {
		points = append(points, float64(permille)/1000)
	}
	return points
}

// Result is what one run measured.
type Result struct {
	Policy   string `json:"policy"`
	Service  string `json:"service"`
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Phases begins with the whole measured time, named "all".
	Phases []PhaseResult `json:"phases"`
	Leaves []LeafResult  `json:"leaves"`
	// Violations counts the broken promises; Examples describes the first.
	Violations map[Violation]int `json:"violations,omitempty"`
	Examples   []string          `json:"examples,omitempty"`
	// Queries counts all queries, also those of the warm-up.
	Queries int `json:"queries"`
}

// PhaseAll names the phase of the whole measured time.
const PhaseAll = "all"

// PhaseResult is what was measured of the queries sent in one window.
type PhaseResult struct {
	Name    string        `json:"name"`
	From    Duration      `json:"from"`
	To      Duration      `json:"to"`
	Classes []ClassResult `json:"classes"`
	// Sends counts attempts, and Needed the shards of queries that got at
	// least one.
	Sends  int `json:"sends"`
	Needed int `json:"needed"`
	// Busy is the share of all slot time that leaves were at work, and Useful
	// the share that the work of answers in time is worth on healthy leaves.
	Busy   float64 `json:"busy"`
	Useful float64 `json:"useful"`
}

// Extra is the share of attempts beyond those needed.
func (p *PhaseResult) Extra() float64 {
	if p.Needed == 0 {
		return 0
	}
	return float64(p.Sends-p.Needed) / float64(p.Needed)
}

// ClassResult is what was measured of one class.
type ClassResult struct {
	Class string `json:"class"`
	Kind  Kind   `json:"kind"`
	// Sent counts the queries of clients that stayed and whose node lived;
	// each has one of the outcomes.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Partial  int `json:"partial"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Reasons counts the queries without a whole answer by reason.
	Reasons map[dispatch.Reason]int `json:"reasons,omitempty"`
	// Lost counts the queries that died with their node.
	Lost int `json:"lost"`
	// Coverage is the mean coverage of the queries that were not refused.
	Coverage float64 `json:"coverage"`
	// Latency holds milliseconds at QuantilePoints, from the client's sending
	// to its answer. A query without a whole answer counts with 60 s.
	Latency []float64 `json:"latency_ms"`
	// RefusalP99 is the time in milliseconds from a query's arrival at its
	// node to the refusal, at the quantile 0.99.
	RefusalP99 float64 `json:"refusal_p99_ms"`
	// Bare counts the refusals for load without a time to come back.
	Bare int `json:"refusals_without_retry_after"`
}

// Quantile returns the latency in milliseconds at one of QuantilePoints.
func (c *ClassResult) Quantile(quantile float64) float64 {
	for i, point := range QuantilePoints {
		if point >= quantile-1e-9 && i < len(c.Latency) {
			return c.Latency[i]
		}
	}
	return 0
}

// LeafResult is what one leaf got after the warm-up.
type LeafResult struct {
	Zone     string `json:"zone"`
	Received int    `json:"received"`
	Executed int    `json:"executed"`
	// Busy is the share of its slot time at work.
	Busy float64 `json:"busy"`
}

// Phase returns the phase with a name, or nil.
func (r *Result) Phase(name string) *PhaseResult {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}
