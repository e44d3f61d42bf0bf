package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Result is what a run measured after its warm-up.
type Result struct {
	Config Config `json:"config"`
	// Sent counts the requests of the measured time, and Rate how many of
	// them ended a second.
	Sent    int           `json:"sent"`
	Rate    float64       `json:"rate"`
	Classes []ClassResult `json:"classes"`
}

// ClassResult is what was measured of one class.
type ClassResult struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	Sent    int    `json:"sent"`
	// Outcomes counts the answers by outcome.
	Outcomes map[dispatch.Outcome]int `json:"outcomes"`
	// Problems counts the problem documents by type.
	Problems map[api.ProblemType]int `json:"problems,omitempty"`
	// Transport counts the requests without any answer, and Wrong the answers
	// that belong to another request or contradict themselves.
	Transport int `json:"transport_errors"`
	Wrong     int `json:"wrong_answers"`
	// Bare counts the refusals without Retry-After.
	Bare int `json:"refusals_without_retry_after"`
	// Coverage is the mean coverage of the answers.
	Coverage float64 `json:"coverage"`
	Rows     int     `json:"rows"`
	// Latency counts from when requests were due, of answered and partial
	// ones; ServiceTime counts from when they were sent; Refusal is the latency
	// of requests that were not run.
	Latency     Quantiles `json:"latency"`
	ServiceTime Quantiles `json:"service_time"`
	Refusal     Quantiles `json:"refusal"`
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Most  float64 `json:"maximum_ms"`
}

// Bounds of the histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 600_000_000
	latencyDigits  = 3
)

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{
		Count: histogram.TotalCount(), Mean: histogram.Mean() / 1000,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Most: float64(histogram.Max()) / 1000,
	}
}

// collector gathers the answers; one goroutine owns it.
type collector struct {
	config   *Config
	progress io.Writer
	started  time.Time
	ended    int
	classes  []*classCollector
	all      *hdrhistogram.Histogram
	failed   int
}

type classCollector struct {
	result                     ClassResult
	covered                    float64
	latency, service, refusals *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// record puts a latency in; none is beyond the bounds.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

func newCollector(config *Config, progress io.Writer) *collector {
	c := &collector{config: config, progress: progress, started: time.Now(), all: newHistogram()}
	for _, class := range config.Classes {
		c.classes = append(c.classes, &classCollector{
			result: ClassResult{
				Service: class.Service, Class: class.Class,
				Outcomes: make(map[dispatch.Outcome]int), Problems: make(map[api.ProblemType]int),
			},
			latency: newHistogram(), service: newHistogram(), refusals: newHistogram(),
		})
	}
	return c
}

// run takes answers until there are no more, and reports progress.
func (c *collector) run(answers <-chan answer) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case got, ok := <-answers:
			if !ok {
				c.report()
				return
			}
			c.take(got)
		case <-ticker.C:
			c.report()
		}
	}
}

func (c *collector) take(got answer) {
	c.ended++
	if got.outcome != dispatch.OutcomeAnswered {
		c.failed++
	}
	record(c.all, got.latency)
	if got.measured {
		c.classes[got.class].take(got)
	}
}

func (c *classCollector) take(got answer) {
	c.result.Sent++
	if got.wrong {
		c.result.Wrong++
	}
	if got.transport {
		c.result.Transport++
		return
	}
	c.result.Outcomes[got.outcome]++
	if got.problem != "" {
		c.result.Problems[got.problem]++
	}
	switch got.outcome {
	case dispatch.OutcomeAnswered, dispatch.OutcomePartial:
		c.covered += got.coverage
		c.result.Rows += got.rows
		record(c.latency, got.latency)
		record(c.service, got.service)
	case dispatch.OutcomeNotRun:
		record(c.refusals, got.latency)
		if !got.retryAfter {
			c.result.Bare++
		}
	}
}

// report writes one line of progress.
func (c *collector) report() {
	if c.progress == nil {
		return
	}
	elapsed := time.Since(c.started).Seconds()
	fmt.Fprintf(c.progress, "%6.1f s  %8d ended  %8.1f/s  p50 %8.2f ms  p99 %8.2f ms  %d not answered\n",
		elapsed, c.ended, float64(c.ended)/elapsed,
		float64(c.all.ValueAtQuantile(50))/1000, float64(c.all.ValueAtQuantile(99))/1000, c.failed)
}

func (c *collector) result() Result {
	result := Result{Config: *c.config}
	for _, class := range c.classes {
		summary := class.result
		summary.Latency = quantilesOf(class.latency)
		summary.ServiceTime = quantilesOf(class.service)
		summary.Refusal = quantilesOf(class.refusals)
		if answered := class.latency.TotalCount(); answered > 0 {
			summary.Coverage = class.covered / float64(answered)
		}
		result.Sent += summary.Sent
		result.Classes = append(result.Classes, summary)
	}
	if measured := time.Duration(c.config.Duration - c.config.WarmUp).Seconds(); measured > 0 {
		result.Rate = float64(result.Sent) / measured
	}
	return result
}
