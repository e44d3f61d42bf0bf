package dissemination

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkFault simulates each kind of fault in 20 runs of 60 s. It reports the share of freshness
// checks that passed, the share of proposals that ended in force, and the mean time that these
// took.
func BenchmarkFault(b *testing.B) {
	for _, kind := range append([]string{"none"}, faultKinds...) {
		b.Run(kind, func(b *testing.B) {
			for range b.N {
				measureFault(b, kind)
			}
		})
	}
}

func measureFault(b *testing.B, kind string) {
	var freshnessChecks, freshChecks, proposed, inForce int
	var waited Time
	for seed := range uint64(20) {
		sim := newSimulation(seed, 5, false)
		sim.freshnessChecks, sim.freshChecks = 0, 0
		first := len(sim.operations)
		sim.startFault(fault{kind: kind, duration: 30 * time.Second, target: int(seed) % nodeCount})
		for at := Time(0); at < 50*time.Second; at += 2 * time.Second {
			sim.scheduleAfter(at, func() {
				sim.propose(sim.newestProcess(nodeName(sim.random.IntN(nodeCount))), serviceProposal(fmt.Sprintf("s%d", sim.now)), 12*time.Second)
			})
		}
		sim.run(sim.now + time.Minute)
		freshnessChecks, freshChecks = freshnessChecks+sim.freshnessChecks, freshChecks+sim.freshChecks
		for _, op := range sim.operations[first:] {
			proposed++
			if op.done && op.result.Fate == FateInForce {
				inForce++
				waited += op.endedAt - op.calledAt
			}
		}
	}
	b.ReportMetric(float64(freshChecks)/float64(freshnessChecks), "fresh/check")
	b.ReportMetric(float64(inForce)/float64(proposed), "in_force/proposal")
	b.ReportMetric((waited/Time(max(inForce, 1))).Seconds()*1000, "ms/in_force")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkExchange reports the CPU time of one request and its response on both sides, including
// encoding and decoding.
func BenchmarkExchange(b *testing.B) {
	address := netip.MustParseAddrPort("127.0.0.1:1000")
	var cores []*Core
	for index := range 2 {
		self := Member{Name: nodeName(index), Zone: "z", Incarnation: 1 << 60}
		cores = append(cores, New(Options{Config: DefaultConfig(), Self: self, Random: rand.New(rand.NewPCG(1, 1))}))
		cores[index].Tick(0)
		cores[index].Ready()
	}
	cores[1].advanceConfirmation(time.Second)
	b.ReportAllocs()
	size := 0
	for range b.N {
		cores[0].sendRequest(time.Second, address)
		for _, from := range []int{0, 1} {
			encoded, err := EncodePacket(cores[from].Ready().Packets[0].Packet)
			if err != nil {
				b.Fatal(err)
			}
			size += len(encoded)
			packet, err := DecodePacket(encoded)
			if err != nil {
				b.Fatal(err)
			}
			cores[1-from].Step(time.Second, address, packet)
		}
	}
	b.ReportMetric(float64(size)/float64(b.N), "payload_bytes/op")
}
