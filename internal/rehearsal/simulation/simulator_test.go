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

// drainTime is how long a run goes on after the last arrival, beyond the
// longest deadline, so that everything ends.
const settleTime = 10 * time.Second

// contextCheckEvery is how many events pass between two looks at the context.
const contextCheckInterval = 4096

// world is the state of one run.
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
	leafVersions    []uint64 // the index version that each leaf was told last
	epochShards     []int    // the number of shards of each epoch, from 1
	arrivalsEndAt   Time
	result          Result
}

// Run simulates one Config to its end. It returns an error if the Config is
// not usable or the context ends first; broken promises are in the Result.
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
		return fmt.Errorf("service %s: %d replicas on %d leaves", c.Service.Name, c.Service.Replicas, c.Service.Leaves)
	}
	for i, fault := range c.Scenario.Faults {
		if fault.Leaf >= c.Service.Leaves || fault.Node >= len(c.Deployment.Nodes) {
			return fmt.Errorf("fault %d: no such leaf or node", i+1)
		}
		if fault.Kind == FaultSilenceZone && !slices.Contains(c.Deployment.Zones, fault.Zone) {
			return fmt.Errorf("fault %d: no zone %q", i+1, fault.Zone)
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
		sim: s, index: index,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7101),
		zone:    zones[index%len(zones)],
		slots:   s.config.Service.Slots,
		boot:    1, slowFactor: 1,
	}
	l.updated = []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: 1, Epoch: 1},
		Shards:   s.config.Service.placement(index, s.config.Service.Shards),
	}}
	l.publishedLoad = l.loadSummary()
	s.leaves = append(s.leaves, l)
	s.leavesByAddress[l.address] = l
}

// placement lists the shards of one leaf: replica r of shard s is on leaf
// s*replicas+r, modulo the number of leaves, so replicas are in other zones.
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

// firstCatalog is the configuration at the start of a run.
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

// introduce starts a node that knows all leaves.
func (s *simulator) startNode(n *node) {
	n.decider = s.newDecider(n.index, n.zone)
	n.table.SetCatalog(s.catalog)
	for _, l := range s.leaves {
		n.table.Report(0, l.address, l.loadReport())
	}
	n.refreshTopology()
}

// shards is the number of shards of a partition epoch.
func (s *simulator) shardCount(epoch uint64) int {
	if epoch == 0 || int(epoch) > len(s.epochShards) {
		return 0
	}
	return s.epochShards[epoch-1]
}

// startPolling lets each node ask each leaf for its load, not all at once.
func (s *simulator) startPolling() {
	every := s.config.Deployment.Leaf.PollInterval
	random := newRandom(s.config.Seed, streamNetwork, 1)
	for _, n := range s.nodes {
		for _, l := range s.leaves {
			s.engine.scheduleAt(scale(every, random.Float64()), func() { n.poll(l) })
		}
	}
}

// startLeaves schedules the leaves' own rhythm: reports and pauses.
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

// publish renews what the leaf reports, until the end of the run.
func (l *emulatedLeaf) publishLoad() {
	l.publishedLoad = l.loadSummary()
	if l.sim.engine.now < l.sim.arrivalsEndAt+settleTime {
		l.sim.engine.scheduleAfter(l.sim.config.Deployment.Leaf.ReportLag, l.publishLoad)
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
