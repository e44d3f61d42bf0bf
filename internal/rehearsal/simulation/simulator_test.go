package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// settleTime is how long a run continues after the last arrival, in addition to the longest
// deadline, so that all queries finish.
const settleTime = 10 * time.Second

// contextCheckInterval is the number of events between two checks of the context.
const contextCheckInterval = 4096

// simulator holds the state of one run.
type simulator struct {
	config          Config
	engine          engine
	leaves          []*emulatedLeaf
	leavesByAddress map[netip.AddrPort]*emulatedLeaf
	nodes           []*node
	network         *network
	catalog         *catalog.Catalog
	faultRandom     *rand.Rand
	arrivals        *rand.Rand
	queries         []*query
	leafVersions    []uint64 // the newest index version that each leaf was given
	epochShards     []int    // the number of shards of each partition epoch, starting at epoch 1
	arrivalsEndAt   Time
	result          Result
}

// Run simulates a Config. It returns an error if the Config is invalid or the context ends first.
// Violations of invariants are in the Result.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	s := newSimulator(config)
	s.scheduleFaults()
	s.startPolling()
	s.startLeafTimers()
	s.scheduleLoad()
	stopAt := s.arrivalsEndAt + settleTime + s.longestDeadline()
	for steps := 0; s.engine.now <= stopAt && s.engine.step(); steps++ {
		if steps%contextCheckInterval == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
	s.checkAfterRun()
	s.completeResult()
	return s.result, nil
}

func (c *Config) validate() error {
	if c.Service.Replicas > c.Service.Leaves {
		return fmt.Errorf("service %s: %d replicas need more than %d leaves", c.Service.Name, c.Service.Replicas, c.Service.Leaves)
	}
	for i, fault := range c.Scenario.Faults {
		if fault.Leaf >= c.Service.Leaves || fault.Node >= len(c.Deployment.Nodes) {
			return fmt.Errorf("fault %d: leaf %d or node %d does not exist", i+1, fault.Leaf, fault.Node)
		}
		if fault.Kind == FaultSilenceZone && !slices.Contains(c.Deployment.Zones, fault.Zone) {
			return fmt.Errorf("fault %d: zone %q does not exist", i+1, fault.Zone)
		}
	}
	return nil
}

func newSimulator(config Config) *simulator {
	s := &simulator{
		config:          config,
		leavesByAddress: make(map[netip.AddrPort]*emulatedLeaf),
		faultRandom:     newRandom(config.Seed, streamFaults, 0),
		arrivals:        newRandom(config.Seed, streamArrivals, 0),
		leafVersions:    make([]uint64, config.Service.Leaves),
		epochShards:     []int{config.Service.Shards},
		arrivalsEndAt:   config.Scenario.Duration,
		result:          Result{Outcomes: make(map[dispatch.Outcome]int)},
	}
	for index := range config.Service.Leaves {
		s.leafVersions[index] = 1
		s.addLeaf(index)
	}
	s.catalog = s.initialCatalog()
	for index, zone := range config.Deployment.Nodes {
		s.nodes = append(s.nodes, newNode(s, index, zone))
	}
	s.network = newNetwork(s)
	for _, n := range s.nodes {
		s.startNode(n)
	}
	return s
}

func (s *simulator) addLeaf(index int) {
	zones := s.config.Deployment.Zones
	l := &emulatedLeaf{
		simulator: s, index: index,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7101),
		zone:    zones[index%len(zones)],
		slots:   s.config.Service.Slots,
		boot:    1, slowFactor: 1,
	}
	l.holdings = []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: 1, Epoch: 1},
		Shards:   s.config.Service.placement(index, s.config.Service.Shards),
	}}
	l.publishedLoad = l.loadSummary()
	s.leaves = append(s.leaves, l)
	s.leavesByAddress[l.address] = l
}

// placement returns the shards of a leaf. Replica r of shard s is on leaf s*Replicas+r modulo the
// number of leaves, so the replicas of a shard are in different zones.
func (s *Service) placement(index, shards int) []int {
	var held []int
	for shard := range shards {
		for replica := range s.Replicas {
			if (shard*s.Replicas+replica)%s.Leaves == index {
				held = append(held, shard)
			}
		}
	}
	return held
}

// initialCatalog returns the catalog at the start of a run.
func (s *simulator) initialCatalog() *catalog.Catalog {
	service := catalog.Service{
		Name: s.config.Service.Name, Replicas: s.config.Service.Replicas,
		Partitions: []catalog.Partition{{Epoch: 1, Shards: s.config.Service.Shards}},
		Leaves:     make(map[netip.AddrPort]catalog.Leaf),
	}
	for _, l := range s.leaves {
		service.Leaves[l.address] = catalog.Leaf{Address: l.address, Zone: l.zone, AddedAt: 1}
	}
	return &catalog.Catalog{Revision: 1, Services: map[string]catalog.Service{service.Name: service}}
}

// startNode starts a node with the catalog and a load report of every leaf.
func (s *simulator) startNode(n *node) {
	n.decider = s.newDecider(n.index, n.zone)
	n.table.SetCatalog(s.catalog)
	for _, l := range s.leaves {
		n.table.RecordReport(0, l.address, l.loadReport())
	}
	n.refreshTopology()
}

// shardCount returns the number of shards of a partition epoch, or 0 if the epoch does not exist.
func (s *simulator) shardCount(epoch uint64) int {
	if epoch == 0 || int(epoch) > len(s.epochShards) {
		return 0
	}
	return s.epochShards[epoch-1]
}

// startPolling starts the load polls of all nodes at random offsets within PollInterval.
func (s *simulator) startPolling() {
	interval := s.config.Deployment.Leaf.PollInterval
	random := newRandom(s.config.Seed, streamNetwork, 1)
	for _, n := range s.nodes {
		for _, l := range s.leaves {
			s.engine.scheduleAt(scale(interval, random.Float64()), func() { n.poll(l) })
		}
	}
}

// startLeafTimers schedules the load reports and the pauses of all leaves.
func (s *simulator) startLeafTimers() {
	model := &s.config.Deployment.Leaf
	for _, l := range s.leaves {
		random := newRandom(s.config.Seed, streamLeaves, uint64(l.index))
		s.engine.scheduleAt(scale(model.ReportLag, random.Float64()), l.publishLoad)
		if model.MeanPauseInterval > 0 {
			s.schedulePause(l, random)
		}
	}
}

// publishLoad updates the load that the leaf reports, until the end of the run.
func (l *emulatedLeaf) publishLoad() {
	l.publishedLoad = l.loadSummary()
	if l.simulator.engine.now < l.simulator.arrivalsEndAt+settleTime {
		l.simulator.engine.scheduleAfter(l.simulator.config.Deployment.Leaf.ReportLag, l.publishLoad)
	}
}

func (s *simulator) schedulePause(l *emulatedLeaf, random *rand.Rand) {
	model := &s.config.Deployment.Leaf
	s.engine.scheduleAfter(exponential(random, model.MeanPauseInterval), func() {
		l.pause(exponential(random, model.MeanPauseDuration))
		if s.engine.now < s.arrivalsEndAt {
			s.schedulePause(l, random)
		}
	})
}

func (s *simulator) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range s.config.Service.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
