package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The benchmarks report virtual times and encoded bytes instead of elapsed time. Run them with
// -benchtime 1x.

var benchmarkSizes = []int{10, 100, 400}

func newFormedCluster(b *testing.B, size int, seed uint64) *simulatedCluster {
	b.Helper()
	c := newSimulatedCluster(DefaultConfig(), size, 4, seed)
	c.encodePackets = true
	if _, ok := c.converge(2 * time.Minute); !ok {
		b.Fatal("views do not agree after 2m0s")
	}
	c.run(30 * time.Second)
	return c
}

// BenchmarkIdleTraffic reports the bytes that a node sends while nothing changes.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				c := newFormedCluster(b, size, 1)
				const seconds = 60
				before := c.sentBytes
				c.run(seconds * time.Second)
				b.ReportMetric(float64(c.sentBytes-before)/seconds/float64(size), "bytes/s/node")
			}
		})
	}
}

// BenchmarkFailureDetection crashes single nodes. It reports the time until the first view suspects
// the node, until all views suspect it, and until all views declare it gone.
func BenchmarkFailureDetection(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				benchmarkFailureDetection(b, size)
			}
		})
	}
}

func benchmarkFailureDetection(b *testing.B, size int) {
	const crashes = 20
	var suspectedFirst, suspectedByAll, goneByAll []time.Duration
	c := newFormedCluster(b, size, 2)
	for i := range crashes {
		victim := c.nodes[(i*7)%size]
		if victim.crashed {
			continue
		}
		crashedAt := c.now
		suspected := make(map[*simulatedNode]bool)
		var first, all, gone time.Duration
		c.onEvent = func(observer *simulatedNode, event Event) {
			if event.Kind != EventChanged || event.Member.Name != victim.core.Self().Name {
				return
			}
			if len(suspected) == 0 {
				first = c.now - crashedAt
			}
			if !suspected[observer] {
				suspected[observer] = true
				all = c.now - crashedAt
			}
			if event.Member.State == StateGone {
				gone = c.now - crashedAt
			}
		}
		victim.crashed = true
		c.run(60 * time.Second)
		suspectedFirst = append(suspectedFirst, first)
		suspectedByAll = append(suspectedByAll, all)
		goneByAll = append(goneByAll, gone)
		c.onEvent = nil
		c.start(victim.index, 4, uint64(2000+i))
		c.run(30 * time.Second)
	}
	report := func(times []time.Duration, name string) {
		slices.Sort(times)
		b.ReportMetric(times[len(times)/2].Seconds(), name+"-median-s")
		b.ReportMetric(times[len(times)-1].Seconds(), name+"-max-s")
	}
	report(suspectedFirst, "first-suspect")
	report(suspectedByAll, "all-suspect")
	report(goneByAll, "all-gone")
}

// BenchmarkPacketLoss counts false suspicions and live members declared gone at 20 % packet loss.
func BenchmarkPacketLoss(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				c := newFormedCluster(b, size, 3)
				falsePositives := trackFalsePositives(c)
				before, bytes := sumStatistics(c), c.sentBytes
				c.lossRate = 0.2
				const minutes = 10
				c.run(minutes * time.Minute)
				sum := sumStatistics(c)
				hours := float64(size) * minutes / 60
				b.ReportMetric(float64(sum.SuspicionsRaised-before.SuspicionsRaised)/hours, "false-suspicions/node-hour")
				b.ReportMetric(float64(sum.ProbesFailed-before.ProbesFailed)/float64(sum.Probes-before.Probes), "failed-probes/probe")
				b.ReportMetric(float64(falsePositives.count), "false-deaths")
				b.ReportMetric(float64(c.sentBytes-bytes)/minutes/60/float64(size), "bytes/s/node")
			}
		})
	}
}
