package simulation

import (
	"flag"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"
)

var scheduleCount = flag.Int("schedules", 120, "random fault schedules to run")

// randomConfig draws two load levels and one to eight faults. The faults start within 5 s and last
// up to 3 s, so several are often active at once.
func randomConfig(seed uint64) Config {
	random := rand.New(rand.NewPCG(seed, 99))
	config := testConfig(seed, 7*time.Second)
	config.Scenario.CancelRatio = 0.05
	config.Scenario.Load = []LoadStep{{Level: 0.2 + 0.8*random.Float64()}, {At: ms(3000), Level: 0.2 + 1.3*random.Float64()}}
	kinds := []FaultKind{
		FaultSlow, FaultPause, FaultCrash, FaultSilence, FaultDrain, FaultRetire, FaultMachineListLeaving, FaultFalseReport,
		FaultStaleReply, FaultRollout, FaultRollout, FaultRepartition, FaultRepartition, FaultFreezeNode, FaultSilenceZone,
	}
	for range 1 + random.IntN(8) {
		fault := Fault{
			Kind: kinds[random.IntN(len(kinds))], At: ms(float64(random.IntN(5000))),
			Duration: ms(float64(1 + random.IntN(3000))), Leaf: random.IntN(6), Node: random.IntN(3),
			Zone: config.Deployment.Zones[random.IntN(3)], Shards: 1 + random.IntN(6),
		}
		switch fault.Kind {
		case FaultDrain, FaultRetire:
			fault.Duration *= time.Duration(random.IntN(2)) // half of them are permanent
		case FaultSlow:
			fault.Factor = 2 + 8*random.Float64()
		case FaultStaleReply:
			fault.Factor = random.Float64()
		}
		config.Scenario.Faults = append(config.Scenario.Faults, fault)
	}
	return config
}

// TestInvariantsUnderRandomFaults checks every invariant of this package under seeded random loads
// and faults. The flag -schedules sets the number of seeds.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for seed := range seeds {
				result := mustRun(t, randomConfig(seed))
				if len(result.Violations) > 0 {
					t.Errorf("seed %d: violations = %v, want none\n%v", seed, result.Violations, result.Examples)
				}
			}
		})
	}
	for seed := range *scheduleCount {
		seeds <- uint64(seed)
	}
	close(seeds)
	workers.Wait()
}
