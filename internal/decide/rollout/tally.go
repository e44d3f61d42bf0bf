package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Buckets of the time that attempts take: bucket n ends at firstBucket times
// bucketStep to the power of n; the last one has no end.
const (
	buckets     = 28
	firstBucket = time.Millisecond
	bucketStep  = 1.4
)

// Histogram counts attempts by the time that they took.
type Histogram [buckets]uint32

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	steps := math.Ceil(math.Log(float64(took)/float64(firstBucket)) / math.Log(bucketStep))
	return min(int(steps), buckets-1)
}

// bucketEnd returns the longest time of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketStep, float64(bucket)))
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
func (h *Histogram) above(bucket int) uint32 {
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

// Counts is what attempts came to.
type Counts struct {
	// Failed brought no answer.
	Failed uint32
	// Took counts the others by the time that they took, or had taken when they
	// were overtaken by another attempt.
	Took Histogram
}

func (c *Counts) add(other *Counts) {
	c.Failed += other.Failed
	c.Took.add(&other.Took)
}

func (c *Counts) subtract(earlier *Counts) {
	c.Failed -= min(earlier.Failed, c.Failed)
	c.Took.subtract(&earlier.Took)
}

// asked returns how many attempts ended.
func (c *Counts) asked() uint32 { return c.Failed + c.Took.total() }

// Subject is what counts are of.
type Subject struct {
	Service string
	// Order is the revision of the order under which they were made.
	Order uint64
	Route string
	// Target says that the leaf has the version of the order.
	Target bool
	// Zone and Leaf are those of the target's leaves; empty for the others.
	Zone, Leaf string
}

// Row is the counts of one subject, since the start of the node that reports them.
type Row struct {
	Subject Subject
	Counts  Counts
}

// Tally counts the attempts of one node. It is not safe for concurrent use.
type Tally struct{ rows map[Subject]*Counts }

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{rows: make(map[Subject]*Counts)} }

func (t *Tally) counts(subject Subject) *Counts {
	known, found := t.rows[subject]
	if !found {
		known = &Counts{}
		t.rows[subject] = known
	}
	return known
}

// Failed counts an attempt that brought no answer.
func (t *Tally) Failed(subject Subject) { t.counts(subject).Failed++ }

// Took counts an attempt that was answered, or overtaken, after a time.
func (t *Tally) Took(subject Subject, took time.Duration) {
	t.counts(subject).Took[bucketOf(took)]++
}

// Retain forgets what was counted under other orders than those given, by service.
func (t *Tally) Retain(orders map[string]uint64) {
	for subject := range t.rows {
		if orders[subject.Service] != subject.Order {
			delete(t.rows, subject)
		}
	}
}

// Changed returns the counts that are not as they were told last, in a fixed order.
// Nothing told, it returns all.
func (t *Tally) Changed(told map[Subject]Counts) []Row {
	rows := make([]Row, 0, len(t.rows))
	for subject, counts := range t.rows {
		if told[subject] != *counts {
			rows = append(rows, Row{Subject: subject, Counts: *counts})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareSubjects(a.Subject, b.Subject) })
	return rows
}

func compareSubjects(a, b Subject) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Leaf, b.Leaf))
}
