package hollow

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

// socketFleet runs the services of nodes over sockets on 127.0.0.1.
type socketFleet struct {
	config  Config
	storage *storage
	origin  time.Time
	slots   []slot
	// seeds are the addresses of the first nodes, which keep theirs.
	seeds   []netip.AddrPort
	nodes   []*socketNode
	earlier []status
	counts  []traffic
	work    sync.WaitGroup

	mutex    sync.RWMutex
	zones    map[netip.AddrPort]int
	cutZones []int
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

func newSocketFleet(config Config, storage *storage) (*socketFleet, error) {
	f := &socketFleet{
		config: config, storage: storage, origin: time.Now(), slots: config.slots(),
		nodes: make([]*socketNode, config.Nodes), earlier: make([]status, config.Nodes),
		counts: make([]traffic, config.Nodes),
		zones:  make(map[netip.AddrPort]int),
	}
	for i := range f.slots {
		if err := f.start(i, firstIncarnation, loopback); err != nil {
			f.close()
			return nil, fmt.Errorf("hollow: start node %d: %w", i, err)
		}
	}
	return f, nil
}

// start opens the sockets of a node and starts it.
func (f *socketFleet) start(index int, incarnation uint64, at netip.AddrPort) error {
	node, err := newSocketNode(f, f.slots[index], incarnation, at)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	f.zones[node.address] = f.slots[index].zone
	f.mutex.Unlock()
	f.nodes[index] = node
	const seedCount = 3
	if len(f.seeds) < seedCount {
		f.seeds = append(f.seeds, node.address)
	}
	node.start()
	return nil
}

func (f *socketFleet) now() time.Duration { return time.Since(f.origin) }

func (f *socketFleet) advance(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// separated reports whether a cut lies between a zone and an address.
func (f *socketFleet) separated(zone int, to netip.AddrPort) bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	other, known := f.zones[to]
	return !known || slices.Contains(f.cutZones, zone) != slices.Contains(f.cutZones, other)
}

func (f *socketFleet) reachesStore(zone int) bool {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return !slices.Contains(f.cutZones, zone)
}

func (f *socketFleet) cut(zones []int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cutZones = zones
}

// settled waits for a node that is being replaced.
func (f *socketFleet) settled(index int) *socketNode {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.nodes[index]
}

func (f *socketFleet) statuses() []status {
	statuses := make([]status, len(f.slots))
	for i := range statuses {
		node := f.settled(i)
		f.mutex.RLock()
		statuses[i] = f.earlier[i]
		f.mutex.RUnlock()
		statuses[i].role = roleOf(f.slots[i], node.watching.Load() > 0)
		if node.stopped.Load() {
			continue
		}
		counted := node.membership.Statistics()
		statuses[i].revision = node.dissemination.Current().Revision
		statuses[i].serves = node.dissemination.Fresh() && !node.membership.Superseded()
		statuses[i].suspect += counted.SuspicionsRaised
		statuses[i].gone += counted.DeclaredGone
	}
	return statuses
}

func (f *socketFleet) traffic() []traffic {
	for i := range f.slots {
		f.counts[i] = f.settled(i).traffic()
	}
	return f.counts
}

func (f *socketFleet) propose(index int, command catalog.Command, token string, ended func(dissemination.Result)) {
	node := f.settled(index)
	f.work.Go(func() {
		result, err := node.dissemination.Propose(context.Background(), command, dissemination.ProposeOptions{ChangeID: token})
		if err == nil {
			ended(result)
		}
	})
}

// restart stops a node as planned and starts its successor on the same
// address.
func (f *socketFleet) restart(index int) {
	node := f.settled(index)
	f.work.Go(func() {
		_ = node.membership.Leave(context.Background())
		node.close()
		successor, err := newSocketNode(f, node.slot, node.incarnation+1, node.address)
		if err != nil {
			panic(fmt.Sprintf("hollow: restart of %s: %v", node.slot.name, err))
		}
		successor.inherit(node)
		f.mutex.Lock()
		f.earlier[index].restarts++
		f.earlier[index].suspect += node.membership.Statistics().SuspicionsRaised
		f.earlier[index].gone += node.membership.Statistics().DeclaredGone
		f.nodes[index] = successor
		f.mutex.Unlock()
		successor.start()
	})
}

func (f *socketFleet) agreed() bool {
	var expected uint64
	for i := range f.slots {
		expected ^= f.settled(i).membership.Self().ViewHash()
	}
	for i := range f.slots {
		node := f.settled(i)
		if node.stopped.Load() || node.membership.ViewHash() != expected {
			return false
		}
	}
	return true
}

func (f *socketFleet) close() {
	f.work.Wait()
	var stopping sync.WaitGroup
	for _, node := range f.nodes {
		if node != nil {
			stopping.Go(node.close)
		}
	}
	stopping.Wait()
}
