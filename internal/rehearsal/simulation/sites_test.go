package simulation

import (
	"slices"
	"testing"
	"time"
)

// siteConfig returns a site with one node in each zone and leaves that rarely pause.
func siteConfig(zones []string, clients time.Duration, service Service) Config {
	config := testConfig(1, time.Minute)
	config.Deployment.Zones, config.Deployment.Nodes = zones, zones
	config.Deployment.Network.ClientDelay = clients
	config.Deployment.Leaf = LeafModel{
		QueueLimit: 64, MeanPauseInterval: ms(10_000), MeanPauseDuration: ms(15), ColdDuration: ms(500), WarmUpDuration: ms(5000), ColdFactor: 3,
		PollInterval: ms(500), ReportLag: ms(200), MachineListLag: ms(2000), CommandLag: ms(1000),
	}
	config.Service = service
	return config
}

// siteClass returns a class whose queries may be repeated and require full coverage.
func siteClass(kind Kind, share float64, priority int, deadline, mean time.Duration) Class {
	return Class{
		Name: string(kind), Kind: kind, Weight: share, Priority: priority, Deadline: deadline, MinimumCoverage: 1,
		HedgePercentile: 0.95, ExtraLoad: 0.03, MeanServiceTime: mean, WorkSigma: 0.4, NoiseSigma: 0.3,
	}
}

// TestInvariantsOfDeployedSites simulates a minute at load level 0.4 for two services as they are
// deployed. One has a slow leaf and a leaf whose machine stops responding, the other loses a zone.
func TestInvariantsOfDeployedSites(t *testing.T) {
	slowAndLost := siteConfig([]string{"north", "south", "east", "west"}, ms(1), Service{
		Name: "slow-and-lost", Leaves: 10, Shards: 5, Replicas: 2, Slots: 2, MaxConnectionsPerLeaf: 110,
		Classes: []Class{
			siteClass(KindCheck, 70, 1, ms(500), ms(6)),
			siteClass(KindSweep, 10, 2, ms(3000), ms(30)),
			siteClass(KindLookup, 20, 2, ms(1000), ms(5)),
		},
	})
	slowAndLost.Scenario.Faults = []Fault{
		{Kind: FaultSlow, At: ms(12_000), Leaf: 0, Factor: 8},
		{Kind: FaultSilence, At: ms(30_000), Leaf: 8},
	}
	once := siteClass(KindOnce, 30, 1, ms(2000), ms(10))
	once.HedgePercentile = 0
	zoneLost := siteConfig([]string{"east", "centre", "west"}, ms(3), Service{
		Name: "zone-lost", Leaves: 5, Shards: 5, Replicas: 2, Slots: 3, MaxConnectionsPerLeaf: 110,
		Classes: []Class{
			siteClass(KindCheck, 15, 1, ms(500), ms(6)),
			siteClass(KindSweep, 5, 2, ms(3000), ms(30)),
			siteClass(KindLookup, 50, 2, ms(1000), ms(5)),
			once,
		},
	})
	zoneLost.Scenario.Faults = []Fault{{Kind: FaultSilenceZone, At: ms(30_000), Zone: "west"}}
	for _, config := range []Config{slowAndLost, zoneLost} {
		result := mustRun(t, config)
		if len(result.Violations) > 0 {
			t.Errorf("%s: violations = %v, want none\n%v", config.Service.Name, result.Violations, result.Examples)
		}
		idle := slices.ContainsFunc(result.Leaves, func(l LeafResult) bool { return l.Executed == 0 })
		if result.Queries == 0 || idle {
			t.Errorf("%s: %d queries, leaves %+v; want queries and work on every leaf", config.Service.Name, result.Queries, result.Leaves)
		}
	}
}
