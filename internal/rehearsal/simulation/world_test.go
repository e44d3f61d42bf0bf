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
const drainTime = 10 * time.Second

// contextCheckEvery is how many events pass between two looks at the context.
const contextCheckEvery = 4096

// world is the state of one run.
type world struct {
	config      Config
	engine      engine
	leaves      []*emulatedLeaf
	byAddress   map[netip.AddrPort]*emulatedLeaf
	nodes       []*node
	network     *network
	catalog     *catalog.Catalog
	faultRandom *rand.Rand
	arrivals    *rand.Rand
	queries     []*query
	versions    []uint64 // the index version that each leaf was told last
	epochShards []int    // the number of shards of each epoch, from 1
	endAt       Time
	result      Result
}

// Run simulates one Config to its end. It returns an error if the Config is
// not usable or the context ends first; broken promises are in the Result.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	w := newWorld(config)
	w.scheduleFaults()
	w.startPolling()
	w.startLeaves()
	w.scheduleLoad()
	stopAt := w.endAt + drainTime + w.longestDeadline()
	for steps := 0; w.engine.now <= stopAt && w.engine.step(); steps++ {
		if steps%contextCheckEvery == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
	}
	w.checkEnd()
	w.summarise()
	return w.result, nil
}

func (c *Config) validate() error {
	if c.Service.Replicas > c.Service.Leaves {
		return fmt.Errorf("service %s: %d replicas on %d leaves", c.Service.Name, c.Service.Replicas, c.Service.Leaves)
	}
	for i, fault := range c.Scenario.Faults {
		if fault.Leaf >= c.Service.Leaves || fault.Node >= len(c.Deployment.Nodes) {
			return fmt.Errorf("fault %d: no such leaf or node", i+1)
		}
		if fault.Kind == FaultLoseZone && !slices.Contains(c.Deployment.Zones, fault.Zone) {
			return fmt.Errorf("fault %d: no zone %q", i+1, fault.Zone)
		}
	}
	return nil
}

func newWorld(config Config) *world {
	w := &world{
		config:      config,
		byAddress:   make(map[netip.AddrPort]*emulatedLeaf),
		faultRandom: newRandom(config.Seed, streamFaults, 0),
		arrivals:    newRandom(config.Seed, streamArrivals, 0),
		versions:    make([]uint64, config.Service.Leaves),
		epochShards: []int{config.Service.Shards},
		endAt:       config.Scenario.Duration,
		result:      Result{Outcomes: make(map[dispatch.Outcome]int)},
	}
	for index := range config.Service.Leaves {
		w.versions[index] = 1
		w.addLeaf(index)
	}
	w.catalog = w.firstCatalog()
	for index, zone := range config.Deployment.Nodes {
		w.nodes = append(w.nodes, newNode(w, index, zone))
	}
	w.network = newNetwork(w)
	for _, n := range w.nodes {
		w.introduce(n)
	}
	return w
}

func (w *world) addLeaf(index int) {
	zones := w.config.Deployment.Zones
	l := &emulatedLeaf{
		world: w, index: index,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(index >> 8), byte(index)}), 7101),
		zone:    zones[index%len(zones)],
		slots:   w.config.Service.Slots,
		boot:    1, slow: 1,
	}
	l.holdings = []leaf.Holding{{
		Snapshot: catalog.Snapshot{Version: 1, Epoch: 1},
		Shards:   w.config.Service.placement(index, w.config.Service.Shards),
	}}
	l.published = l.summary()
	w.leaves = append(w.leaves, l)
	w.byAddress[l.address] = l
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
func (w *world) firstCatalog() *catalog.Catalog {
	service := catalog.Service{
		Name: w.config.Service.Name, Replicas: w.config.Service.Replicas,
		Partitions: []catalog.Partition{{Epoch: 1, Shards: w.config.Service.Shards}},
		Leaves:     make(map[netip.AddrPort]catalog.Leaf),
	}
	for _, l := range w.leaves {
		service.Leaves[l.address] = catalog.Leaf{Address: l.address, Zone: l.zone, AddedAt: 1}
	}
	return &catalog.Catalog{Revision: 1, Services: map[string]catalog.Service{service.Name: service}}
}

// introduce starts a node that knows all leaves.
func (w *world) introduce(n *node) {
	n.decider = w.newDecider(n.index, n.zone)
	n.table.SetCatalog(w.catalog)
	for _, l := range w.leaves {
		n.table.Report(0, l.address, l.report())
	}
	n.refreshTopology()
}

// shards is the number of shards of a partition epoch.
func (w *world) shards(epoch uint64) int {
	if epoch == 0 || int(epoch) > len(w.epochShards) {
		return 0
	}
	return w.epochShards[epoch-1]
}

// startPolling lets each node ask each leaf for its load, not all at once.
func (w *world) startPolling() {
	every := w.config.Deployment.Leaf.ReportEvery
	random := newRandom(w.config.Seed, streamNetwork, 1)
	for _, n := range w.nodes {
		for _, l := range w.leaves {
			w.engine.at(scale(every, random.Float64()), func() { n.poll(l) })
		}
	}
}

// startLeaves schedules the leaves' own rhythm: reports and pauses.
func (w *world) startLeaves() {
	model := &w.config.Deployment.Leaf
	for _, l := range w.leaves {
		random := newRandom(w.config.Seed, streamLeaves, uint64(l.index))
		w.engine.at(scale(model.ReportLag, random.Float64()), l.publish)
		if model.PauseEvery > 0 {
			w.schedulePause(l, random)
		}
	}
}

// publish renews what the leaf reports, until the end of the run.
func (l *emulatedLeaf) publish() {
	l.published = l.summary()
	if l.world.engine.now < l.world.endAt+drainTime {
		l.world.engine.after(l.world.config.Deployment.Leaf.ReportLag, l.publish)
	}
}

func (w *world) schedulePause(l *emulatedLeaf, random *rand.Rand) {
	model := &w.config.Deployment.Leaf
	w.engine.after(exponential(random, model.PauseEvery), func() {
		l.pause(exponential(random, model.PauseFor))
		if w.engine.now < w.endAt {
			w.schedulePause(l, random)
		}
	})
}

func (w *world) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range w.config.Service.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
