package hollow

import (
	"fmt"
	"time"
)

// Scenario is a phase of a run.
type Scenario string

// The scenarios, in the order in which they are usually run.
const (
	// ScenarioRest makes no change and has no fault.
	ScenarioRest Scenario = "rest"
	// ScenarioChanges makes changes of configuration at Config.ChangeInterval.
	ScenarioChanges Scenario = "changes"
	// ScenarioRolling restarts nodes, one each Config.RestartInterval, while
	// changes are made.
	ScenarioRolling Scenario = "rolling"
	// ScenarioCut cuts the last zone off from all others, while changes are
	// made, and then heals the cut.
	ScenarioCut Scenario = "cut"
	// ScenarioRegion does the same with all zones of the last region.
	ScenarioRegion Scenario = "region"
)

// Config describes one run. Use DefaultConfig and change single fields.
type Config struct {
	// Nodes, Zones and Regions are numbers; zones are dealt to regions and
	// nodes to zones in turn.
	Nodes   int `json:"nodes"`
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	// Voters is the number of nodes that hold a voter's slot, in as many zones
	// as there are.
	Voters int `json:"voters"`
	// Leaves is the number of leaves in the catalog.
	Leaves int `json:"leaves"`
	// Virtual chooses virtual time instead of sockets and real time.
	Virtual bool `json:"virtual"`
	// Scenarios are run one after the other, each for Duration.
	Scenarios []Scenario    `json:"scenarios"`
	Duration  time.Duration `json:"duration"`
	// WarmUp is the time between the meeting of all nodes and the first
	// scenario, in which the news of the start dies down.
	WarmUp time.Duration `json:"warm_up"`
	// ChangeInterval is the time between changes; 11,000 a day are one each
	// 7.9 s.
	ChangeInterval time.Duration `json:"change_interval"`
	// RestartInterval is the time between restarts of nodes; 2,000 a day are
	// one each 43 s.
	RestartInterval time.Duration `json:"restart_interval"`
	// ZoneDelay and RegionDelay are the one-way delays of the virtual network
	// between zones of a region and between regions; within a zone it is a
	// fifth of ZoneDelay.
	ZoneDelay   time.Duration `json:"zone_delay"`
	RegionDelay time.Duration `json:"region_delay"`
	// Loss is the share of datagrams that are lost, from 0 to 1.
	Loss float64 `json:"loss"`
	Seed uint64  `json:"seed"`
	// FormTimeout bounds the time until all nodes have met at the start.
	FormTimeout time.Duration `json:"form_timeout"`
}

// DefaultConfig returns a run of all scenarios with a given number of nodes,
// with as many leaves a node as the size that the project plans for.
func DefaultConfig(nodes int) Config {
	const leavesPerNode = 19000.0 / 3900
	return Config{
		Nodes: nodes, Zones: 13, Regions: 4, Voters: 5,
		Leaves:          int(float64(nodes) * leavesPerNode),
		Scenarios:       []Scenario{ScenarioRest, ScenarioChanges, ScenarioRolling, ScenarioCut, ScenarioRegion},
		Duration:        30 * time.Second,
		WarmUp:          warmUp * time.Duration(max(1, nodes/400)),
		ChangeInterval:  time.Second,
		RestartInterval: time.Second,
		ZoneDelay:       time.Millisecond,
		RegionDelay:     40 * time.Millisecond,
		Seed:            1,
		FormTimeout:     3 * time.Minute,
	}
}

// warmUp is that of up to 400 nodes; the news of a start takes longer to die
// down among more.
const warmUp = 20 * time.Second

// Limits of a run, which keep it within one machine.
const (
	MaximumSocketNodes  = 1000
	MaximumVirtualNodes = 8000
)

func (c Config) validate() error {
	limit := MaximumSocketNodes
	if c.Virtual {
		limit = MaximumVirtualNodes
	}
	switch {
	case c.Nodes < 2 || c.Nodes > limit:
		return fmt.Errorf("hollow: nodes must be from 2 to %d", limit)
	case c.Zones < 1 || c.Regions < 1 || c.Zones < c.Regions:
		return fmt.Errorf("hollow: there must be a region, and at least as many zones as regions")
	case c.Voters < 1 || c.Voters > c.Nodes:
		return fmt.Errorf("hollow: voters must be from 1 to the number of nodes")
	case c.Duration <= 0 || c.ChangeInterval <= 0 || c.RestartInterval <= 0:
		return fmt.Errorf("hollow: durations must be positive")
	}
	for _, scenario := range c.Scenarios {
		if _, known := scenarios[scenario]; !known {
			return fmt.Errorf("hollow: unknown scenario %q", scenario)
		}
	}
	return nil
}

// slot describes one place in the fleet, which successive processes fill.
type slot struct {
	index  int
	name   string
	zone   int
	region int
	voter  bool
}

// slots deals the nodes to the zones. The first ones are voters, so that these
// lie in as many zones as possible.
func (c Config) slots() []slot {
	slots := make([]slot, c.Nodes)
	for i := range slots {
		zone := i % c.Zones
		slots[i] = slot{
			index: i, name: fmt.Sprintf("node-%04d", i),
			zone: zone, region: zone % c.Regions, voter: i < c.Voters,
		}
	}
	return slots
}

func (s slot) zoneName() string   { return fmt.Sprintf("zone-%02d", s.zone) }
func (s slot) regionName() string { return fmt.Sprintf("region-%d", s.region) }
