package hedge

import (
	"math/bits"
	"time"
)

// Shape and decay of the histogram.
const (
	// Each octave of latencies in microseconds is divided into buckets of equal width, which
	// bounds the relative error by 1/16.
	octaveBits       = 4
	bucketsPerOctave = 1 << octaveBits
	octaves          = 24 // from 16 microseconds to four minutes
	bucketCount      = (octaves + 1) * bucketsPerOctave
	halvingInterval  = 2048 // samples between two halvings; old latencies decay within minutes
	refreshInterval  = 32   // samples between two computations, to amortise their cost
)

// LatencyHistogram is a decaying histogram of latencies: the weight of old samples halves with
// every halvingInterval new ones. Its relative error is below 1/16. The zero value is ready to use.
type LatencyHistogram struct {
	counts  [bucketCount]float64
	total   float64
	samples int

	cachedAt       int
	cachedQuantile float64
	cached         time.Duration
}

// Add records one latency.
func (q *LatencyHistogram) Add(latency time.Duration) {
	q.counts[bucketOf(latency)]++
	q.total++
	q.samples++
	if q.samples%halvingInterval == 0 {
		q.halve()
	}
}

// SampleCount returns the total number of recorded latencies.
func (q *LatencyHistogram) SampleCount() int {
	return q.samples
}

// Quantile returns an upper bound of the latency at the quantile, from 0 to 1. The result may
// be up to refreshInterval samples old. It is zero without samples.
func (q *LatencyHistogram) Quantile(quantile float64) time.Duration {
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

func (q *LatencyHistogram) compute(quantile float64) time.Duration {
	targetCount := quantile * q.total
	sum := 0.0
	for bucket, count := range q.counts {
		sum += count
		if sum >= targetCount && count > 0 {
			return bucketUpperBound(bucket)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

func (q *LatencyHistogram) halve() {
	q.total = 0
	for bucket := range q.counts {
		q.counts[bucket] /= 2
		q.total += q.counts[bucket]
	}
}

// bucketOf returns the bucket of a latency. The first bucketsPerOctave buckets are one
// microsecond wide; the width doubles with each octave after them.
func bucketOf(latency time.Duration) int {
	microseconds := uint64(max(latency, 0) / time.Microsecond)
	if microseconds < bucketsPerOctave {
		return int(microseconds)
	}
	octave := bits.Len64(microseconds) - octaveBits // counts from 1
	offset := int(microseconds>>(octave-1)) - bucketsPerOctave
	return min(octave*bucketsPerOctave+offset, bucketCount-1)
}

func bucketUpperBound(bucket int) time.Duration {
	octave, offset := bucket/bucketsPerOctave, bucket%bucketsPerOctave
	if octave == 0 {
		return time.Duration(offset+1) * time.Microsecond
	}
	return time.Duration(bucketsPerOctave+offset+1) << (octave - 1) * time.Microsecond
}
