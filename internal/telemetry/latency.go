package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyMinimum = time.Microsecond
	latencyMaximum = 10 * time.Minute
	latencyDigits  = 3
)

// Latencies records latencies from 1 µs to 10 min with three significant
// digits; longer ones count as 10 min. It is safe for concurrent use.
type Latencies struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty recorder.
func NewLatencies() *Latencies {
	return &Latencies{histogram: hdrhistogram.New(
		latencyMinimum.Microseconds(), latencyMaximum.Microseconds(), latencyDigits)}
}

// Record adds one latency.
func (l *Latencies) Record(latency time.Duration) {
	value := min(max(latency, 0), latencyMaximum).Microseconds()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// The value is within the histogram's range, so this cannot fail.
	_ = l.histogram.RecordValue(value)
}

// LatencySummary is what a recorder holds at one moment.
type LatencySummary struct {
	Count                          int64
	Mean, P50, P90, P99, P999, Max time.Duration
}

// Summary returns the count and the quantiles; all zero if nothing was recorded.
func (l *Latencies) Summary() LatencySummary {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	quantile := func(percent float64) time.Duration {
		return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
	}
	return LatencySummary{
		Count: l.histogram.TotalCount(),
		Mean:  time.Duration(l.histogram.Mean() * float64(time.Microsecond)),
		P50:   quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
		Max: time.Duration(l.histogram.Max()) * time.Microsecond,
	}
}

// Merge adds what another recorder holds, which must not be this one.
func (l *Latencies) Merge(other *Latencies) {
	other.mutex.Lock()
	copied := other.histogram.Export()
	other.mutex.Unlock()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.histogram.Merge(hdrhistogram.Import(copied))
}
