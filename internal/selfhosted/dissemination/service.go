package dissemination

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
)

// ErrClosed is returned by a Service that has been closed.
var ErrClosed = errors.New("dissemination: closed")

// ServiceOptions are what a Service needs.
type ServiceOptions struct {
	Config Config
	// Self is this node. A zero incarnation is replaced by the wall clock in
	// nanoseconds.
	Self Member
	// Members returns the current list of members; it is called every
	// MembersInterval and must not block.
	Members   func() []Member
	Store     Store
	Transport Transport
	// Clock is the monotonic clock; nil for that of the process.
	Clock  clock.Clock
	Logger *slog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// Seed fixes the random choices; zero for a random seed.
	Seed uint64
}

const (
	tickInterval = 50 * time.Millisecond
	// MembersInterval is the time between reads of the list of members.
	MembersInterval = 500 * time.Millisecond
	// defaultProposalTimeout bounds a proposal whose context has no deadline.
	defaultProposalTimeout = 15 * time.Second
)

// Service runs the dissemination of one node. Its methods may be called by any
// goroutine.
type Service struct {
	options ServiceOptions
	clock   clock.Clock
	logger  *slog.Logger
	metrics *metrics

	current atomic.Pointer[catalog.Catalog]
	// freshUntil is the clock reading up to which the node may serve.
	freshUntil atomic.Int64

	mutex       sync.Mutex
	core        *Core
	waiting     map[ProposalID]chan Result
	subscribers map[int]chan *catalog.Catalog
	lastID      int
	state       logState
	watching    context.CancelFunc
	closed      bool

	life    context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
}

// NewService returns a service that is not started. It holds the empty catalog
// and is not fresh.
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
	life, stop := context.WithCancel(context.Background())
	s := &Service{
		options: options,
		clock:   options.Clock,
		logger:  options.Logger.With("subsystem", "dissemination"),
		core: New(Options{
			Config: options.Config,
			Self:   options.Self,
			Random: rand.New(rand.NewPCG(options.Seed, options.Self.Incarnation)),
		}),
		waiting:     map[ProposalID]chan Result{},
		subscribers: map[int]chan *catalog.Catalog{},
		life:        life,
		stop:        stop,
	}
	s.current.Store(s.core.Catalog())
	s.freshUntil.Store(math.MinInt64)
	s.metrics = newMetrics(s, options.Registerer)
	return s
}

// Start begins to exchange and to read the store. It does not block.
func (s *Service) Start() {
	s.setMembers()
	s.running.Add(1)
	go s.run()
}

func (s *Service) run() {
	defer s.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastMembers := s.clock.Now()
	s.do(func(now Time) { s.core.Tick(now) })
	for {
		select {
		case <-s.life.Done():
			return
		case <-ticker.C:
		}
		if s.clock.Now()-lastMembers >= MembersInterval {
			lastMembers = s.clock.Now()
			s.setMembers()
		}
		s.do(func(now Time) { s.core.Tick(now) })
	}
}

func (s *Service) setMembers() {
	members := s.options.Members()
	s.do(func(Time) { s.core.SetMembers(members) })
}

// Close stops the service. Proposals under way end with what is known. It
// blocks until nothing runs any more; a second call does nothing.
func (s *Service) Close() {
	s.do(func(now Time) {
		for id := range s.waiting {
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
	s.stop()
	s.running.Wait()
}

// do runs one step of the core and carries out what it asks for. The clock is
// read after the event that the step reports.
func (s *Service) do(step func(now Time)) {
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

// publish makes the outcome of a step visible and starts what takes time. The
// mutex is held.
func (s *Service) publish(ready Ready) {
	if ready.Catalog != nil {
		s.current.Store(ready.Catalog)
		for _, subscriber := range s.subscribers {
			offer(subscriber, ready.Catalog)
		}
	}
	// The catalog is visible before the freshness that it may bring.
	until := int64(math.MinInt64)
	if at, ok := s.core.ConfirmedAt(); ok {
		until = int64(at + s.options.Config.Window)
	}
	s.freshUntil.Store(until)
	s.logChanges()
	for _, result := range ready.Results {
		s.metrics.proposals.WithLabelValues(string(result.Result.Fate)).Inc()
		if waiting := s.waiting[result.ID]; waiting != nil {
			waiting <- result.Result
			delete(s.waiting, result.ID)
		}
	}
	s.startWork(ready)
}

// offer replaces what a subscriber has not taken yet by the newest catalog.
func offer(subscriber chan *catalog.Catalog, newest *catalog.Catalog) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- newest
}

func (s *Service) transmit(packets []Outgoing) {
	for _, outgoing := range packets {
		payload, err := EncodePacket(outgoing.Packet)
		if err == nil {
			err = s.options.Transport.Send(outgoing.To, payload)
		}
		if err != nil {
			s.metrics.packets.WithLabelValues(kindOf(outgoing.Packet), "failed").Inc()
			continue
		}
		s.metrics.packets.WithLabelValues(kindOf(outgoing.Packet), "sent").Inc()
		s.metrics.bytes.WithLabelValues("sent").Add(float64(len(payload)))
	}
}

// Receive takes one datagram in. It is called by the owner of the socket.
func (s *Service) Receive(from netip.AddrPort, payload []byte) {
	packet, err := DecodePacket(payload)
	if err != nil {
		s.metrics.packets.WithLabelValues("malformed", "received").Inc()
		return
	}
	s.metrics.packets.WithLabelValues(kindOf(packet), "received").Inc()
	s.metrics.bytes.WithLabelValues("received").Add(float64(len(payload)))
	s.do(func(now Time) { s.core.Step(now, from, packet) })
}

// ServeFetch answers a peer's fetch.
func (s *Service) ServeFetch(_ context.Context, _ netip.AddrPort, call *FetchCall) (*FetchReply, error) {
	s.mutex.Lock()
	response := s.core.AnswerFetch(FetchRequest{Revision: call.Revision})
	s.mutex.Unlock()
	return encodeFetchResponse(response)
}

// Hint reports that a member announced a revision elsewhere, as in a heartbeat.
func (s *Service) Hint(from netip.AddrPort, revision uint64) {
	if revision > s.Current().Revision {
		s.do(func(now Time) { s.core.Hint(now, from, revision) })
	}
}

// Current returns the catalog that this node holds. It must not be modified.
func (s *Service) Current() *catalog.Catalog { return s.current.Load() }

// Fresh says whether this node may act now. Ask directly before the act: it
// reads the clock, because the process may have been frozen.
func (s *Service) Fresh() bool { return s.FreshFor() > 0 }

// FreshFor returns how long this node may serve on unless it is confirmed
// again; zero or less if it may not.
func (s *Service) FreshFor() time.Duration {
	until := s.freshUntil.Load()
	if until == math.MinInt64 {
		return 0
	}
	return time.Duration(until) - s.clock.Now()
}

// Superseded says that a newer process has taken over this node's voter slot.
// This one never serves again and should exit.
func (s *Service) Superseded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Superseded()
}

// HeldAt returns the latest reading of the clock such that a majority of the
// voters have answered requests sent then or later with at least a revision, and
// whether there is one. With revision 0 it dates the last moment at which the
// voter slot of this node, if it holds one, was certainly its own. Unlike the
// times of PeerRevisions it is proof after a freeze or a delay.
func (s *Service) HeldAt(revision uint64) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HeldAt(s.clock.Now(), revision)
}

// PeerRevisions returns what is known of the members' revisions.
func (s *Service) PeerRevisions() []PeerRevision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.PeerRevisions()
}

// Subscribe returns a channel of new catalogs and a function that ends the
// subscription. A reader that lags gets only the newest. The channel is closed
// by that function and by Close.
func (s *Service) Subscribe() (<-chan *catalog.Catalog, func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	catalogs := make(chan *catalog.Catalog, 1)
	if s.closed {
		close(catalogs)
		return catalogs, func() {}
	}
	catalogs <- s.core.Catalog()
	s.lastID++
	id := s.lastID
	s.subscribers[id] = catalogs
	return catalogs, func() { s.unsubscribe(id) }
}

func (s *Service) unsubscribe(id int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if subscriber, ok := s.subscribers[id]; ok {
		close(subscriber)
		delete(s.subscribers, id)
	}
}
