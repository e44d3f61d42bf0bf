package hollow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

// storage is the configuration store of a fleet. It implements
// dissemination.Store and may be used by any goroutine.
type storage struct {
	mutex      sync.Mutex
	checkpoint *catalog.Catalog
	// changes follow the checkpoint.
	changes  []catalog.Change
	watchers map[int]func([]catalog.Change)
	lastID   int
	calls    int
	loads    int
	// created is called with each new change, under the mutex.
	created func(catalog.Change)
}

// newStorage returns a store that holds a catalog of the run's services,
// leaves and voters as its checkpoint.
func newStorage(config Config) (*storage, error) {
	current := catalog.Empty()
	apply := func(command catalog.Command) error {
		next, err := catalog.Apply(current, catalog.Change{
			Revision: current.Revision + 1, ID: changeID(current.Revision + 1),
			At: time.Unix(1796200000, 0), Command: command,
		})
		if err == nil {
			current = next
		}
		return err
	}
	for _, command := range initialCommands(config) {
		if err := apply(command); err != nil {
			return nil, fmt.Errorf("hollow: initial catalog: %w", err)
		}
	}
	return &storage{checkpoint: current, watchers: make(map[int]func([]catalog.Change))}, nil
}

// changeID returns the id of an initial change.
func changeID(revision uint64) string { return fmt.Sprintf("%d-initial%019d", revision, revision) }

// leavesPerService is about how many leaves the services of a catalog have.
const leavesPerService = 24

const shardsPerService = 12

func initialCommands(config Config) []catalog.Command {
	var commands []catalog.Command
	services := max(1, config.Leaves/leavesPerService)
	for i := range services {
		commands = append(commands,
			catalog.Command{CreateService: &catalog.CreateService{Name: serviceName(i), Shards: shardsPerService, Replicas: 2}},
			catalog.Command{DefineClass: &catalog.DefineClass{Class: catalog.Class{
				Name: "lookup", Service: serviceName(i), Priority: 1, Deadline: time.Second, Coverage: 1, Repeatable: true,
			}}})
	}
	for i := range config.Leaves {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(i >> 8), byte(i)}), 7101)
		commands = append(commands, catalog.Command{AddLeaf: &catalog.AddLeaf{
			Service: serviceName(i % services), Address: address,
			Zone: slot{zone: i % config.Zones}.zoneName(), Shards: []int{i / services % shardsPerService},
		}})
	}
	for _, place := range config.slots()[:config.Voters] {
		commands = append(commands, catalog.Command{AddVoter: &catalog.AddVoter{
			Voter: catalog.Voter{Name: place.name, Zone: place.zoneName()},
		}})
	}
	return commands
}

func serviceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// change returns the command of a run's n-th change.
func (c Config) change(n int) catalog.Command {
	services := max(1, c.Leaves/leavesPerService)
	return catalog.Command{LimitService: &catalog.LimitService{Service: serviceName(n % services), Concurrency: 1 + n%1000}}
}

func (s *storage) read(from uint64, limit int) (changes []catalog.Change, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	for _, change := range s.changes {
		if change.Revision < from {
			continue
		}
		if len(changes) == limit {
			return changes, true
		}
		changes = append(changes, change)
	}
	if from <= s.checkpoint.Revision && s.checkpoint.Revision > 0 {
		changes = slices.Insert(changes, 0, s.checkpointChange())
	}
	return changes, false
}

// checkpointChange is the change that led to the checkpoint: the only one of
// those before it that is kept.
func (s *storage) checkpointChange() catalog.Change {
	last := s.checkpoint.Recent[len(s.checkpoint.Recent)-1]
	return catalog.Change{Revision: last.Revision, ID: last.ID, At: last.At}
}

func (s *storage) create(change catalog.Change) (created bool, existing *catalog.Change) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	next := s.checkpoint.Revision + uint64(len(s.changes)) + 1
	if change.Revision > next {
		return false, nil
	}
	if change.Revision < next {
		found := s.checkpointChange()
		if change.Revision > s.checkpoint.Revision {
			found = s.changes[change.Revision-s.checkpoint.Revision-1]
		}
		return false, &found
	}
	s.changes = append(s.changes, change)
	if s.created != nil {
		s.created(change)
	}
	for _, id := range slices.Sorted(maps.Keys(s.watchers)) {
		s.watchers[id]([]catalog.Change{change})
	}
	return true, nil
}

// watch registers a function that is called with each change, under the
// mutex; it must hand the change on and return.
func (s *storage) watch(deliver func([]catalog.Change)) (cancel func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	s.lastID++
	id := s.lastID
	s.watchers[id] = deliver
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.watchers, id)
	}
}

func (s *storage) callCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// loadCount is the number of checkpoints loaded so far.
func (s *storage) loadCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loads
}

// errCut is the error of a node that is cut off from the store or a peer.
var errCut = errors.New("hollow: cut off")

// storeClient is the store as one node of a socket fleet reaches it.
type storeClient struct {
	storage   *storage
	reachable func() bool
}

var _ dissemination.Store = (*storeClient)(nil)

func (c *storeClient) ReadChanges(_ context.Context, from uint64, limit int) ([]catalog.Change, bool, error) {
	if !c.reachable() {
		return nil, false, errCut
	}
	changes, more := c.storage.read(from, limit)
	return changes, more, nil
}

func (c *storeClient) CreateChange(_ context.Context, change catalog.Change) (bool, *catalog.Change, error) {
	if !c.reachable() {
		return false, nil, errCut
	}
	created, existing := c.storage.create(change)
	if !created && existing == nil {
		return false, nil, errors.New("hollow: the change leaves a gap")
	}
	return created, existing, nil
}

func (c *storeClient) MaybeApplied(error) bool { return false }

func (c *storeClient) WatchChanges(ctx context.Context, deliver func([]catalog.Change)) error {
	const backlog = 64
	delivered := make(chan []catalog.Change, backlog)
	cancel := c.storage.watch(func(changes []catalog.Change) {
		select {
		case delivered <- changes:
		default: // reads of the log fill the gap
		}
	})
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case changes := <-delivered:
			if !c.reachable() {
				return errCut
			}
			deliver(changes)
		}
	}
}

func (c *storeClient) LoadCheckpoint(context.Context) (*catalog.Catalog, error) {
	if !c.reachable() {
		return nil, errCut
	}
	return c.storage.load()
}

func (c *storeClient) SaveCheckpoint(context.Context, *catalog.Catalog, uint64) error { return nil }

// load returns a copy of the checkpoint, decoded from its bytes as a node gets
// it.
func (s *storage) load() (*catalog.Catalog, error) {
	s.mutex.Lock()
	s.calls++
	s.loads++
	checkpoint := s.checkpoint
	s.mutex.Unlock()
	data, err := catalog.Encode(checkpoint)
	if err != nil {
		return nil, err
	}
	return catalog.Decode(data)
}
