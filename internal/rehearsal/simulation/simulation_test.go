package simulation

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

func ms(count float64) Duration { return Duration(count * float64(time.Millisecond)) }

// testConfig is a small service of 3 shards by 2 replicas on 3 zones. The class
// that may not be repeated asks for hedges, which it must not get.
func testConfig(kind PolicyKind, seed uint64, duration time.Duration) Config {
	service := Service{
		Name: "rate-desk", Leaves: 6, Shards: 3, Replicas: 2, Slots: 3, Connections: 70,
		Classes: []Class{
			{Name: "sweep", Kind: KindSweep, Share: 2, Priority: 2, Deadline: ms(2000), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, Mean: ms(30), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "check", Kind: KindCheck, Share: 6, Priority: 1, Deadline: ms(500), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, Mean: ms(6), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "lookup", Kind: KindLookup, Share: 1, Priority: 2, Deadline: ms(500), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, Mean: ms(6), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "file", Kind: KindOnce, Share: 1, Priority: 1, Deadline: ms(1000), MinimumCoverage: 1, HedgePercentile: 0.5, ExtraLoad: 0.5, Mean: ms(8), WorkSigma: 0.4, NoiseSigma: 0.3},
		},
	}
	return Config{
		Deployment: Deployment{
			Name: "test", Zones: []string{"a", "b", "c"}, Nodes: []string{"a", "b", "c"},
			Network: Network{
				WithinZone: ms(0.1), BetweenZones: ms(1), Clients: ms(1), Jitter: ms(0.05),
				ConnectionCost: ms(1), ConnectionsPerNode: 4, StreamsPerConnection: 16,
				SilenceTimeout: ms(1500), DialTimeout: ms(300),
			},
			Leaf: LeafModel{
				QueueLimit: 64, PauseEvery: ms(5000), PauseFor: ms(20), ColdRefuse: ms(300), WarmUp: ms(3000), ColdFactor: 3,
				ReportEvery: ms(500), ReportLag: ms(100), MachineListLag: ms(2000), CommandLag: ms(1000),
			},
			Services: []Service{service},
		},
		Service: service,
		Scenario: Scenario{
			Name: "test", Duration: Duration(duration), WarmUp: ms(1000), Load: []LoadStep{{Level: 0.4}},
		},
		Policy: Policy{Name: string(kind), Kind: kind, Dispatch: dispatch.DefaultConfig()},
		Seed:   seed,
	}
}

func run(t testing.TB, config Config) Result {
	t.Helper()
	result, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestSameSeedSameResult(t *testing.T) {
	for _, kind := range []PolicyKind{PolicyDispatch, PolicyBaseline, PolicyOracle} {
		config := testConfig(kind, 7, 4*time.Second)
		config.Scenario.Faults = []Fault{{Kind: FaultLose, Leaf: 1, At: ms(2000), Duration: ms(500)}}
		first, second := run(t, config), run(t, config)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs of one seed differ", kind)
		}
		if len(first.Violations) > 0 {
			t.Errorf("%s: %v %v", kind, first.Violations, first.Examples)
		}
	}
}

func TestPoliciesMeetTheSameArrivals(t *testing.T) {
	baseline := run(t, testConfig(PolicyBaseline, 3, 3*time.Second))
	oracle := run(t, testConfig(PolicyOracle, 3, 3*time.Second))
	if baseline.Queries == 0 || baseline.Queries != oracle.Queries {
		t.Errorf("%d and %d queries", baseline.Queries, oracle.Queries)
	}
	if busy := baseline.Phases[0].Busy; busy < 0.3 || busy > 0.5 {
		t.Errorf("40 %% of load keep %.2f of the slots busy", busy)
	}
}

func TestOracleAvoidsStraggler(t *testing.T) {
	slow := []Fault{{Kind: FaultSlow, Leaf: 0, Factor: 8}}
	var p99 []float64
	for _, kind := range []PolicyKind{PolicyBaseline, PolicyOracle} {
		config := testConfig(kind, 5, 10*time.Second)
		config.Scenario.Faults = slow
		result := run(t, config)
		p99 = append(p99, result.Phases[0].Classes[1].Quantile(0.99))
	}
	if p99[1]*2 > p99[0] {
		t.Errorf("p99 of the baseline %.1f ms, of the oracle %.1f ms", p99[0], p99[1])
	}
}

func TestSharesOfLyingLeaf(t *testing.T) {
	config := testConfig(PolicyBaseline, 5, 5*time.Second)
	config.Scenario.Faults = []Fault{{Kind: FaultLie, Leaf: 2}}
	result := run(t, config)
	total := 0
	for _, l := range result.Leaves {
		total += l.Received
	}
	if share := float64(result.Leaves[2].Received) * 6 / float64(total); share < 0.8 || share > 1.2 {
		t.Errorf("random choice gave a leaf %.2f of its fair share", share)
	}
}
