package simulation

import (
	"context"
	"reflect"
	"testing"
	"time"
)

func ms(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }

// testConfig returns a service with 3 shards and 2 replicas in 3 zones. Its class of queries that
// must not be repeated asks for hedges, which the Dispatcher must not send.
func testConfig(seed uint64, duration time.Duration) Config {
	service := Service{
		Name: "rate-desk", Leaves: 6, Shards: 3, Replicas: 2, Slots: 3, MaxConnectionsPerLeaf: 70,
		Classes: []Class{
			{Name: "sweep", Kind: KindSweep, Weight: 2, Priority: 2, Deadline: ms(2000), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, MeanServiceTime: ms(30), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "check", Kind: KindCheck, Weight: 6, Priority: 1, Deadline: ms(500), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, MeanServiceTime: ms(6), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "lookup", Kind: KindLookup, Weight: 1, Priority: 2, Deadline: ms(500), MinimumCoverage: 1, HedgePercentile: 0.95, ExtraLoad: 0.03, MeanServiceTime: ms(6), WorkSigma: 0.4, NoiseSigma: 0.3},
			{Name: "file", Kind: KindOnce, Weight: 1, Priority: 1, Deadline: ms(1000), MinimumCoverage: 1, HedgePercentile: 0.5, ExtraLoad: 0.5, MeanServiceTime: ms(8), WorkSigma: 0.4, NoiseSigma: 0.3},
		},
	}
	return Config{
		Deployment: Deployment{
			Zones: []string{"a", "b", "c"}, Nodes: []string{"a", "b", "c"},
			Network: Network{
				IntraZoneDelay: ms(0.1), InterZoneDelay: ms(1), ClientDelay: ms(1), MeanJitter: ms(0.05),
				ConnectionSetupTime: ms(1), MaxConnectionsPerLink: 4, MaxStreamsPerConnection: 16,
				SilenceTimeout: ms(1500), DialTimeout: ms(300),
			},
			Leaf: LeafModel{
				QueueLimit: 64, MeanPauseInterval: ms(5000), MeanPauseDuration: ms(20), ColdDuration: ms(300), WarmUpDuration: ms(3000), ColdFactor: 3,
				PollInterval: ms(500), ReportLag: ms(100), MachineListLag: ms(2000), CommandLag: ms(1000),
			},
		},
		Service:  service,
		Scenario: Scenario{Duration: duration, Load: []LoadStep{{Level: 0.4}}},
		Seed:     seed,
	}
}

func mustRun(t testing.TB, config Config) Result {
	t.Helper()
	result, err := Run(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestRunIsDeterministic(t *testing.T) {
	config := testConfig(7, 4*time.Second)
	config.Scenario.Faults = []Fault{{Kind: FaultSilence, Leaf: 1, At: ms(2000), Duration: ms(500)}}
	first, second := mustRun(t, config), mustRun(t, config)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("second run = %+v, want the result of the first, %+v", second, first)
	}
	if len(first.Violations) > 0 {
		t.Errorf("violations = %v, want none\n%v", first.Violations, first.Examples)
	}
}

func TestUtilizationMatchesOfferedLoad(t *testing.T) {
	config := testConfig(3, 3*time.Second)
	result := mustRun(t, config)
	var busy time.Duration
	for _, l := range result.Leaves {
		busy += l.BusyTime
	}
	slots := time.Duration(config.Service.Slots * config.Service.Leaves)
	if share := busy.Seconds() / (slots * config.Scenario.Duration).Seconds(); share < 0.3 || share > 0.5 {
		t.Errorf("utilization at load level 0.4 = %.2f, want 0.30 to 0.50", share)
	}
}
