package dissemination

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
)

// ErrClosed is returned by the methods of a closed Service.
var ErrClosed = errors.New("dissemination: closed")

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Config Config
	// Self is this node. A zero incarnation is replaced by the wall-clock time in nanoseconds.
	Self Member
	// Members returns the current list of members. It is called every MembersInterval and must not
	// block.
	Members   func() []Member
	Store     Store
	Transport Transport
	// Clock is the monotonic clock; nil selects the clock of the process.
	Clock  clock.Clock
	Logger *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// Seed is the seed of the random choices; zero selects a random seed.
	Seed uint64
}

const (
	// tickInterval is the time between ticks of the core. It is a tenth of the default exchange
	// interval.
	tickInterval = 50 * time.Millisecond
	// MembersInterval is the time between reads of the list of members.
	MembersInterval = 500 * time.Millisecond
	// defaultProposalTimeout limits a proposal whose context has no deadline.
	defaultProposalTimeout = 15 * time.Second
)

// Service runs the core of one node with real time, transport and store. Its methods are safe for
// concurrent use.
type Service struct {
	options ServiceOptions
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics

	current atomic.Pointer[catalog.Catalog]
	// freshUntil is the clock reading until which the node may serve.
	freshUntil atomic.Int64

	mutex            sync.Mutex
	core             *Core
	pendingResults   map[ProposalID]chan Result
	subscribers      map[int]chan *catalog.Catalog
	lastSubscriberID int
	loggedState      logState
	cancelWatch      context.CancelFunc
	closed           bool

	lifetime       context.Context
	cancelLifetime context.CancelFunc
	workers        sync.WaitGroup
}

// NewService returns a service that is not started. It has the empty catalog and is not fresh.
func NewService(options ServiceOptions) *Service {
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(time.Now().UnixNano())
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	lifetime, cancelLifetime := context.WithCancel(context.Background())
	s := &Service{
		options: options,
		clock:   options.Clock,
		logger:  options.Logger.With("subsystem", "dissemination"),
		core: New(Options{
			Config: options.Config,
			Self:   options.Self,
			Random: rand.New(rand.NewPCG(options.Seed, options.Self.Incarnation)),
		}),
		pendingResults: map[ProposalID]chan Result{},
		subscribers:    map[int]chan *catalog.Catalog{},
		lifetime:       lifetime,
		cancelLifetime: cancelLifetime,
	}
	s.current.Store(s.core.Catalog())
	s.freshUntil.Store(math.MinInt64)
	s.metrics = newMetrics(s, options.Registerer)
	return s
}

// Start starts the exchanges with peers and the reads of the store. It does not block.
func (s *Service) Start() {
	s.setMembers()
	s.workers.Add(1)
	go s.run()
}

func (s *Service) run() {
	defer s.workers.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastMembers := s.clock.Now()
	s.runStep(func(now Time) { s.core.Tick(now) })
	for {
		select {
		case <-s.lifetime.Done():
			return
		case <-ticker.C:
		}
		if s.clock.Now()-lastMembers >= MembersInterval {
			lastMembers = s.clock.Now()
			s.setMembers()
		}
		s.runStep(func(now Time) { s.core.Tick(now) })
	}
}

func (s *Service) setMembers() {
	members := s.options.Members()
	s.runStep(func(Time) { s.core.SetMembers(members) })
}

// Close stops the service and ends pending proposals with their known outcome. It blocks until all
// goroutines have ended. Further calls have no effect.
func (s *Service) Close() {
	s.runStep(func(now Time) {
		for id := range s.pendingResults {
			s.core.Expire(now, id)
		}
	})
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	s.freshUntil.Store(math.MinInt64)
	for id, subscriber := range s.subscribers {
		close(subscriber)
		delete(s.subscribers, id)
	}
	s.mutex.Unlock()
	s.cancelLifetime()
	s.workers.Wait()
}

// runStep runs one step of the core and carries out the resulting actions. The clock is read after
// the event that the step processes.
func (s *Service) runStep(step func(now Time)) {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	step(s.clock.Now())
	ready := s.core.Ready()
	s.publish(ready)
	s.mutex.Unlock()
	s.transmit(ready.Packets)
}

// publish makes the outcome of a step visible to readers and starts the requested calls. The caller
// holds the mutex.
func (s *Service) publish(ready Ready) {
	if ready.Catalog != nil {
		s.current.Store(ready.Catalog)
		for _, subscriber := range s.subscribers {
			deliverLatest(subscriber, ready.Catalog)
		}
	}
	// The catalog is published before the freshness that may depend on it.
	until := int64(math.MinInt64)
	if at, ok := s.core.ConfirmedAt(); ok {
		until = int64(at + s.options.Config.Window)
	}
	s.freshUntil.Store(until)
	s.logStateChanges()
	for _, result := range ready.Results {
		s.metrics.proposals.WithLabelValues(string(result.Result.Fate)).Inc()
		if waiting := s.pendingResults[result.ID]; waiting != nil {
			waiting <- result.Result
			delete(s.pendingResults, result.ID)
		}
	}
	s.startCalls(ready)
}
