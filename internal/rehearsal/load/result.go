package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Result is the result of a run without its warm-up.
type Result struct {
	Config Config `json:"config"`
	// Sent is the number of requests that were due after the warm-up, and Rate is that number per
	// second.
	Sent    int           `json:"sent"`
	Rate    float64       `json:"rate"`
	Classes []ClassResult `json:"classes"`
}

// ClassResult is the result of one class.
type ClassResult struct {
	Service string `json:"service"`
	Class   string `json:"class"`
	Sent    int    `json:"sent"`
	// Outcomes counts the responses by outcome.
	Outcomes map[dispatch.Outcome]int `json:"outcomes"`
	// Problems counts the problem documents by type.
	Problems map[api.ProblemType]int `json:"problems,omitempty"`
	// Transport counts the requests without a complete response. Wrong counts the responses that
	// cannot be decoded, belong to another request or are inconsistent.
	Transport int `json:"transport_errors"`
	Wrong     int `json:"wrong_answers"`
	// Bare counts the refusals without a Retry-After header.
	Bare int `json:"refusals_without_retry_after"`
	// Coverage is the mean coverage of the answered and partially answered requests.
	Coverage float64 `json:"coverage"`
	Rows     int     `json:"rows"`
	// Latency and ServiceTime cover the answered and partially answered requests. Latency counts
	// from the due time of a request, and ServiceTime from the time at which it was sent. Refusal
	// is the latency of the requests that were not run.
	Latency     Quantiles `json:"latency"`
	ServiceTime Quantiles `json:"service_time"`
	Refusal     Quantiles `json:"refusal"`
}

// Quantiles summarizes a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Most  float64 `json:"maximum_ms"`
}

// The range of the latency histograms in microseconds (1 µs to 10 min) and their precision in
// significant digits.
const (
	lowestLatency  = 1
	highestLatency = 600_000_000
	latencyDigits  = 3
)

func newQuantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	return Quantiles{
		Count: histogram.TotalCount(), Mean: histogram.Mean() / 1000,
		P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Most: float64(histogram.Max()) / 1000,
	}
}

// collector aggregates the results of requests. It is used by a single goroutine.
type collector struct {
	config      *Config
	progress    io.Writer
	started     time.Time
	completed   int
	classes     []*classCollector
	latency     *hdrhistogram.Histogram
	notAnswered int
}

// classCollector aggregates the results of one class.
type classCollector struct {
	result                        ClassResult
	coverageSum                   float64
	latency, serviceTime, refusal *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// recordLatency adds a latency to a histogram. It clamps the latency to the range of the histogram,
// so RecordValue cannot fail.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

func newCollector(config *Config, progress io.Writer) *collector {
	c := &collector{config: config, progress: progress, started: time.Now(), latency: newHistogram()}
	for _, class := range config.Classes {
		c.classes = append(c.classes, &classCollector{
			result: ClassResult{
				Service: class.Service, Class: class.Class,
				Outcomes: make(map[dispatch.Outcome]int), Problems: make(map[api.ProblemType]int),
			},
			latency: newHistogram(), serviceTime: newHistogram(), refusal: newHistogram(),
		})
	}
	return c
}

// run adds results until the channel is closed, and writes progress every second and at the end.
func (c *collector) run(results <-chan requestResult) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case result, ok := <-results:
			if !ok {
				c.writeProgress()
				return
			}
			c.add(result)
		case <-ticker.C:
			c.writeProgress()
		}
	}
}

func (c *collector) add(result requestResult) {
	c.completed++
	if result.outcome != dispatch.OutcomeAnswered {
		c.notAnswered++
	}
	recordLatency(c.latency, result.latency)
	if result.afterWarmUp {
		c.classes[result.class].add(result)
	}
}

func (c *classCollector) add(result requestResult) {
	c.result.Sent++
	if result.invalid {
		c.result.Wrong++
	}
	if result.transportError {
		c.result.Transport++
		return
	}
	c.result.Outcomes[result.outcome]++
	if result.problem != "" {
		c.result.Problems[result.problem]++
	}
	switch result.outcome {
	case dispatch.OutcomeAnswered, dispatch.OutcomePartial:
		c.coverageSum += result.coverage
		c.result.Rows += result.rows
		recordLatency(c.latency, result.latency)
		recordLatency(c.serviceTime, result.serviceTime)
	case dispatch.OutcomeNotRun:
		recordLatency(c.refusal, result.latency)
		if !result.retryAfter {
			c.result.Bare++
		}
	}
}

// writeProgress writes one line of progress.
func (c *collector) writeProgress() {
	if c.progress == nil {
		return
	}
	elapsed := time.Since(c.started).Seconds()
	fmt.Fprintf(c.progress, "%6.1f s  %8d ended  %8.1f/s  p50 %8.2f ms  p99 %8.2f ms  %d not answered\n",
		elapsed, c.completed, float64(c.completed)/elapsed,
		float64(c.latency.ValueAtQuantile(50))/1000, float64(c.latency.ValueAtQuantile(99))/1000, c.notAnswered)
}

func (c *collector) result() Result {
	result := Result{Config: *c.config}
	for _, class := range c.classes {
		summary := class.result
		summary.Latency = newQuantiles(class.latency)
		summary.ServiceTime = newQuantiles(class.serviceTime)
		summary.Refusal = newQuantiles(class.refusal)
		if answered := class.latency.TotalCount(); answered > 0 {
			summary.Coverage = class.coverageSum / float64(answered)
		}
		result.Sent += summary.Sent
		result.Classes = append(result.Classes, summary)
	}
	if recordedSeconds := time.Duration(c.config.Duration - c.config.WarmUp).Seconds(); recordedSeconds > 0 {
		result.Rate = float64(result.Sent) / recordedSeconds
	}
	return result
}
