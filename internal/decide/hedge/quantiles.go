package hedge

import (
	"math"
	"time"
)

const (
	bucketsPerOctave = 8
	smallestLatency  = 50 * time.Microsecond
	bucketCount      = 21 * bucketsPerOctave // up to 100 s
	halvingInterval  = 2048                  // samples between two halvings
	refreshInterval  = 32                    // samples between two computations
)

// Quantiles is a histogram of latencies that forgets: the weight of old
// samples halves with every halvingInterval new ones. Its relative error is
// below 5 %. The zero value is ready to use.
type Quantiles struct {
	counts  [bucketCount]float64
	total   float64
	samples int

	cachedAt       int
	cachedQuantile float64
	cached         time.Duration
}

// Add records one latency.
func (q *Quantiles) Add(latency time.Duration) {
	q.counts[bucketOf(latency)]++
	q.total++
	q.samples++
	if q.samples%halvingInterval == 0 {
		q.halve()
	}
}

// Samples returns how many latencies were ever recorded.
func (q *Quantiles) Samples() int {
	return q.samples
}

// Quantile returns an upper bound of the latency at the quantile, from 0 to
// 1, as of at most refreshInterval samples ago; zero without samples.
func (q *Quantiles) Quantile(quantile float64) time.Duration {
	if q.samples == 0 {
		return 0
	}
	fresh := q.cachedAt > 0 && q.samples-q.cachedAt < refreshInterval
	if fresh && q.cachedQuantile == quantile {
		return q.cached
	}
	q.cachedAt, q.cachedQuantile = q.samples, quantile
	q.cached = q.compute(quantile)
	return q.cached
}

func (q *Quantiles) compute(quantile float64) time.Duration {
	wanted := quantile * q.total
	sum := 0.0
	for bucket, count := range q.counts {
		sum += count
		if sum >= wanted && count > 0 {
			return upperBound(bucket)
		}
	}
	return upperBound(bucketCount - 1)
}

func (q *Quantiles) halve() {
	q.total = 0
	for bucket := range q.counts {
		q.counts[bucket] /= 2
		q.total += q.counts[bucket]
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(smallestLatency))
	return min(int(octaves*bucketsPerOctave), bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	octaves := float64(bucket+1) / bucketsPerOctave
	return time.Duration(float64(smallestLatency) * math.Exp2(octaves))
}
