package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Buckets of the time that attempts take: bucket n ends at firstBucket times
// bucketStep to the power of n; the last one has no end. Not measured: chosen because a
// step is less than slowFactor, and the range, 1 ms to 6.3 s, holds the times of attempts.
const (
	bucketCount    = 28
	firstBucketEnd = time.Millisecond
	bucketGrowth   = 1.4
)

// Histogram counts attempts by the time that they took.
type Histogram [bucketCount]uint32

// bucketOf returns the bucket of a time.
func bucketIndex(took time.Duration) int {
	if took <= firstBucketEnd {
		return 0
	}
	steps := math.Ceil(math.Log(float64(took)/float64(firstBucketEnd)) / math.Log(bucketGrowth))
	return min(int(steps), bucketCount-1)
}

// bucketEnd returns the longest time of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Pow(bucketGrowth, float64(bucket)))
}

// total returns how many attempts are counted.
func (h *Histogram) total() uint32 {
	sum := uint32(0)
	for _, count := range h {
		sum += count
	}
	return sum
}

// above returns how many took longer than the bucket.
func (h *Histogram) countAbove(bucket int) uint32 {
	sum := uint32(0)
	for _, count := range h[bucket+1:] {
		sum += count
	}
	return sum
}

// add adds the counts of another.
func (h *Histogram) add(other *Histogram) {
	for bucket, count := range other {
		h[bucket] += count
	}
}

// subtract takes away the counts of an earlier state.
func (h *Histogram) subtract(earlier *Histogram) {
	for bucket, count := range earlier {
		h[bucket] -= min(count, h[bucket])
	}
}

// Counts are the ends of some attempts.
type Counts struct {
	// Failed counts those that brought no answer.
	Failed uint32
	// Took counts the others by the time that they took, or had taken when another
	// attempt was answered first.
	Took Histogram
	// First counts those that were the first of their shard, and Overtaken the ones among
	// them of which a later attempt was answered first.
	First, Overtaken uint32
}

func (c *Counts) add(other *Counts) {
	c.Failed += other.Failed
	c.Took.add(&other.Took)
	c.First += other.First
	c.Overtaken += other.Overtaken
}

func (c *Counts) subtract(earlier *Counts) {
	c.Failed -= min(earlier.Failed, c.Failed)
	c.Took.subtract(&earlier.Took)
	c.First -= min(earlier.First, c.First)
	c.Overtaken -= min(earlier.Overtaken, c.Overtaken)
}

// asked returns how many attempts ended.
func (c *Counts) attempts() uint32 { return c.Failed + c.Took.total() }

// Subject is what counts are of.
type Subject struct {
	Service string
	// Order is the revision of the order under which they were made.
	Order uint64
	Route string
	// Target says that the leaf has the version of the order.
	Target bool
	// Zone and Leaf are those of the leaf. Nodes of a former version leave them empty for
	// leaves that are none of the target's.
	Zone, Leaf string
}

// Row is the counts of one subject, since the start of the node that reports them.
type Row struct {
	Subject Subject
	Counts  Counts
}

// Counter counts the attempts of one node. It is not safe for concurrent use.
type Counter struct{ rows map[Subject]*Counts }

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{rows: make(map[Subject]*Counts)} }

func (c *Counter) counts(subject Subject) *Counts {
	row, ok := c.rows[subject]
	if !ok {
		row = &Counts{}
		c.rows[subject] = row
	}
	return row
}

// Failed counts an attempt that brought no answer.
func (c *Counter) Failed(subject Subject) { c.counts(subject).Failed++ }

// Took counts an attempt that was answered, or for which another one was, after a time.
func (c *Counter) Took(subject Subject, took time.Duration) {
	c.counts(subject).Took[bucketIndex(took)]++
}

// First counts that an attempt was the first of its shard, and after which time a later one
// was answered before it; zero if none was. What was overtaken within slowFloor is not
// slow: where leaves take less than a millisecond hedges overtake one that takes 10.
func (c *Counter) First(subject Subject, overtaken time.Duration) {
	counts := c.counts(subject)
	counts.First++
	if overtaken >= slowMargin {
		counts.Overtaken++
	}
}

// Retain forgets what was counted under other orders than those given, by service.
func (c *Counter) Retain(orders map[string]uint64) {
	for subject := range c.rows {
		if orders[subject.Service] != subject.Order {
			delete(c.rows, subject)
		}
	}
}

// Changed returns the counts that differ from those that were reported last, in a fixed
// order; all, if none were.
func (c *Counter) Changed(reported map[Subject]Counts) []Row {
	rows := make([]Row, 0, len(c.rows))
	for subject, counts := range c.rows {
		if reported[subject] != *counts {
			rows = append(rows, Row{Subject: subject, Counts: *counts})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareSubjects(a.Subject, b.Subject) })
	return rows
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Leaf, b.Leaf))
}
