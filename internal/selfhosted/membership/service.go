package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Datagrams sends the payloads of this package to other nodes. Send must not
// block for long; a datagram may be lost.
type Datagrams interface {
	Send(to netip.AddrPort, payload []byte) error
}

// Options are what a Service needs besides its configuration.
type Options struct {
	Config Config
	// Self is this node. If its incarnation is zero, the wall clock in
	// milliseconds is taken, which is higher for each later process.
	Self  Member
	Seeds []netip.AddrPort
	// Datagrams carries the packets out; those that arrive are handed to
	// Service.Receive.
	Datagrams Datagrams
	Logger    *slog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// Seed fixes the random choices; zero for a seed from the clock.
	Seed uint64
}

// Service runs the membership of one node over datagrams. Its methods may be
// called by any goroutine.
type Service struct {
	options Options
	clockOrigin  time.Time
	metrics *metrics
	logger  *slog.Logger

	mutex       sync.Mutex
	core        *Core
	subscribers map[int]chan Event
	nextSubscriberID      int
	closed      bool

	stop    chan struct{}
	running sync.WaitGroup
}

// NewService returns a service that is not yet started.
func NewService(options Options) *Service {
	if options.Self.Incarnation == 0 {
		options.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	if options.Seed == 0 {
		options.Seed = options.Self.Incarnation ^ uint64(nameHash(options.Self.Name))<<32
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	random := rand.New(rand.NewPCG(options.Seed, uint64(nameHash(options.Self.Name))))
	s := &Service{
		options: options, clockOrigin: time.Now(),
		logger:      options.Logger.With("subsystem", "membership"),
		core:        NewCore(options.Config, options.Self, options.Seeds, random),
		subscribers: make(map[int]chan Event),
		stop:        make(chan struct{}),
	}
	s.metrics = newMetrics(s, options.Registerer)
	return s
}

// Start begins to probe and to send. It does not block.
func (s *Service) Start() {
	s.running.Add(1)
	go s.run()
}

func (s *Service) run() {
	defer s.running.Done()
	ticker := time.NewTicker(s.options.Config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.runStep(func(now time.Duration) { s.core.Tick(now) })
		}
	}
}

// Receive processes one datagram. It is called by the owner of the socket.
func (s *Service) Receive(from netip.AddrPort, payload []byte) {
	packet, err := DecodePacket(payload)
	if err != nil {
		s.metrics.malformed.Inc()
		return
	}
	s.metrics.received.Add(float64(len(payload)))
	s.runStep(func(now time.Duration) { s.core.Step(now, from, packet) })
}

// do runs one step of the core and carries out what it asks for.
func (s *Service) runStep(step func(now time.Duration)) {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	step(time.Since(s.clockOrigin))
	ready := s.core.Ready()
	s.publish(ready.Events)
	s.mutex.Unlock()
	s.transmit(ready.Packets)
}

func (s *Service) transmit(packets []Outgoing) {
	for _, outgoing := range packets {
		payload, err := EncodePacket(outgoing.Packet)
		if err == nil {
			err = s.options.Datagrams.Send(outgoing.To, payload)
		}
		if err != nil {
			s.metrics.sendErrors.Inc()
			continue
		}
		s.metrics.sent.Add(float64(len(payload)))
		s.metrics.packets.Inc()
	}
}

// SetRevision sets the catalog revision that packets announce.
func (s *Service) SetRevision(revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetRevision(revision)
}

// leaveRounds is for how many gossip intervals Leave waits.
// Not measured: chosen because a few rounds reach members by several ways.
const leaveGossipIntervals = 5

// Leave announces a planned stop to the others. It blocks until the news has
// been sent a few times, or until ctx ends. The node goes on answering probes
// until Close.
func (s *Service) Leave(ctx context.Context) error {
	s.runStep(func(time.Duration) { s.core.Leave() })
	timer := time.NewTimer(leaveGossipIntervals * s.options.Config.GossipInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.stop:
		return nil
	}
}

// Close notifies some members that this node is gone and stops. It blocks until
// the service no longer sends. A second call does nothing.
func (s *Service) Close() {
	s.runStep(func(time.Duration) { s.core.Depart() })
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	for id, subscriber := range s.subscribers {
		close(subscriber)
		delete(s.subscribers, id)
	}
	s.mutex.Unlock()
	close(s.stop)
	s.running.Wait()
}
