package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Buckets of attempt durations: bucket n ends at firstBucketEnd multiplied by bucketGrowth to the
// power of n; the last bucket is unbounded. The growth is below slowFactor, so that a slow attempt
// is in a higher bucket, and the range of 1 ms to 6.3 s covers the durations of attempts.
const (
	bucketCount    = 28
	firstBucketEnd = time.Millisecond
	bucketGrowth   = 1.4
)

// Histogram counts attempts by duration.
type Histogram [bucketCount]uint32

// bucketIndex returns the bucket of a duration.
func bucketIndex(took time.Duration) int {
	if took <= firstBucketEnd {
		return 0
	}
	steps := math.Ceil(math.Log(float64(took)/float64(firstBucketEnd)) / math.Log(bucketGrowth))
	return min(int(steps), bucketCount-1)
}

// bucketEnd returns the longest duration of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Pow(bucketGrowth, float64(bucket)))
}

// total returns the number of attempts.
func (h *Histogram) total() uint32 {
	sum := uint32(0)
	for _, count := range h {
		sum += count
	}
	return sum
}

// countAbove returns the number of attempts in higher buckets.
func (h *Histogram) countAbove(bucket int) uint32 {
	sum := uint32(0)
	for _, count := range h[bucket+1:] {
		sum += count
	}
	return sum
}

// add adds the counts of another histogram.
func (h *Histogram) add(other *Histogram) {
	for bucket, count := range other {
		h[bucket] += count
	}
}

// subtract subtracts the counts of an earlier state.
func (h *Histogram) subtract(earlier *Histogram) {
	for bucket, count := range earlier {
		h[bucket] -= min(count, h[bucket])
	}
}

// Counts holds the results of attempts.
type Counts struct {
	// Failed counts the attempts without an answer.
	Failed uint32
	// Took counts the other attempts by duration: until their answer, or until another attempt was
	// answered first.
	Took Histogram
	// First counts the attempts that were the first of their shard, and Overtaken the ones among
	// them that a later attempt overtook by an earlier answer.
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

// attempts returns the number of attempts that ended.
func (c *Counts) attempts() uint32 { return c.Failed + c.Took.total() }

// Subject identifies what counts refer to.
type Subject struct {
	Service string
	// Order and Version identify the order in force during the attempts. Nodes of a previous version
	// leave the version empty.
	Order   uint64
	Version string
	Route   string
	// Target reports whether the leaf runs the version of the order.
	Target bool
	// Zone and Leaf identify the leaf. Nodes of a previous version leave them empty for leaves of
	// the control.
	Zone, Leaf string
}

// Row holds the counts of one subject since the start of the reporting node.
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

// CountFailure counts an attempt without an answer.
func (c *Counter) CountFailure(subject Subject) { c.counts(subject).Failed++ }

// CountDuration counts an attempt that was answered, or that ended because another attempt was
// answered, by its duration.
func (c *Counter) CountDuration(subject Subject, took time.Duration) {
	c.counts(subject).Took[bucketIndex(took)]++
}

// CountFirst counts a first attempt of a shard. Overtaken is the time after which a later attempt
// was answered first; zero if there was none. An attempt that was overtaken within slowMargin does
// not count as slow: where leaves take less than 1 ms, hedges overtake an attempt that takes 10 ms.
func (c *Counter) CountFirst(subject Subject, overtaken time.Duration) {
	counts := c.counts(subject)
	counts.First++
	if overtaken >= slowMargin {
		counts.Overtaken++
	}
}

// Retain drops the counts of all orders except the given ones, by service.
func (c *Counter) Retain(orders map[string]Order) {
	for subject := range c.rows {
		if order, ok := orders[subject.Service]; !ok || !order.Is(subject.Order, subject.Version) {
			delete(c.rows, subject)
		}
	}
}

// Renumber changes the number of the order to which the counts of a service belong.
func (c *Counter) Renumber(service string, number uint64) {
	renumbered := make(map[Subject]*Counts, len(c.rows))
	for subject, counts := range c.rows {
		if subject.Service == service {
			subject.Order = number
		}
		renumbered[subject] = counts
	}
	c.rows = renumbered
}

// ChangedRows returns the counts that differ from the last reported ones, sorted by subject.
func (c *Counter) ChangedRows(reported map[Subject]Counts) []Row {
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
