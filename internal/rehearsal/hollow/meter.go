package hollow

import (
	"runtime"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"
)

// reading is all counters of a run at one moment.
type reading struct {
	at         time.Duration
	processor  time.Duration
	storeCalls int
	traffic    []traffic
	statuses   []status
}

func (r *run) take() reading {
	return reading{
		at: r.fleet.now(), processor: processorTime(), storeCalls: r.storage.callCount(),
		traffic: slices.Clone(r.fleet.traffic()), statuses: r.fleet.statuses(),
	}
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes is the memory of live objects and stacks, after a collection.
func heapBytes() int64 {
	runtime.GC()
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() + samples[1].Value.Uint64())
}

func (after reading) processorShare(before reading, nodes int) float64 {
	return (after.processor - before.processor).Seconds() / (after.at - before.at).Seconds() / float64(nodes)
}

// loads sums the traffic up by the role that the slots have at the end.
func (after reading) loads(before reading, peaks []float64) []Load {
	var loads []Load
	seconds := (after.at - before.at).Seconds()
	for _, role := range []Role{RoleVoter, RoleWatcher, RoleMember} {
		load := Load{Role: role}
		for i, status := range after.statuses {
			if status.role != role {
				continue
			}
			load.add(after.traffic[i].minus(before.traffic[i]), seconds)
			if i < len(peaks) {
				load.SecondBytesMaximum = max(load.SecondBytesMaximum, peaks[i])
			}
		}
		if load.Nodes > 0 {
			load.divide()
			loads = append(loads, load)
		}
	}
	return loads
}

func (l *Load) add(t traffic, seconds float64) {
	l.Nodes++
	l.SentBytes += float64(t.sentBytes) / seconds
	l.ReceivedBytes += float64(t.receivedBytes) / seconds
	l.SentPackets += float64(t.sentPackets) / seconds
	l.MembershipBytes += float64(t.membershipBytes) / seconds
	wire := float64(t.wireBytes()) / seconds
	l.WireBytes += wire
	l.WireBytesMaximum = max(l.WireBytesMaximum, wire)
	busy := t.busy.Seconds() / seconds
	l.BusyShare += busy
	l.BusyShareMaximum = max(l.BusyShareMaximum, busy)
}

// divide turns sums into means.
func (l *Load) divide() {
	for _, sum := range []*float64{
		&l.SentBytes, &l.ReceivedBytes, &l.SentPackets, &l.MembershipBytes, &l.WireBytes, &l.BusyShare,
	} {
		*sum /= float64(l.Nodes)
	}
}

func (after reading) members(before reading) Members {
	var members Members
	for i := range after.statuses {
		members.Suspicions += after.statuses[i].suspect - min(before.statuses[i].suspect, after.statuses[i].suspect)
		members.Gone += after.statuses[i].gone - min(before.statuses[i].gone, after.statuses[i].gone)
		members.Restarted += after.statuses[i].restarts - before.statuses[i].restarts
	}
	return members
}
