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

// Datagrams sends payloads to other nodes. Send must not block for long; datagrams may be lost.
type Datagrams interface {
	Send(to netip.AddrPort, payload []byte) error
}

// Options configures a Service.
type Options struct {
	Config Config
	// Self is the record of this node. If its incarnation is zero, the service uses the wall clock
	// in milliseconds, which is higher for each later process.
	Self  Member
	Seeds []netip.AddrPort
	// Datagrams sends the packets. The owner of the socket passes received payloads to
	// Service.Receive.
	Datagrams Datagrams
	Logger    *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// Seed seeds the random choices; zero derives a seed from the incarnation and the name.
	Seed uint64
}

// Service runs the membership protocol of one node over datagrams. It is safe for concurrent use.
type Service struct {
	options     Options
	clockOrigin time.Time
	metrics     *metrics
	logger      *slog.Logger

	mutex            sync.Mutex
	core             *Core
	subscribers      map[int]chan Event
	nextSubscriberID int
	closed           bool

	stop    chan struct{}
	running sync.WaitGroup
}

// NewService returns a service that is not started yet.
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

// Start starts the protocol and returns immediately.
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

// Receive processes the payload of one datagram. The owner of the socket calls it.
func (s *Service) Receive(from netip.AddrPort, payload []byte) {
	packet, err := DecodePacket(payload)
	if err != nil {
		s.metrics.malformed.Inc()
		return
	}
	s.metrics.received.Add(float64(len(payload)))
	s.runStep(func(now time.Duration) { s.core.Step(now, from, packet) })
}

// runStep runs one step of the core, publishes its events and sends its packets.
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

// leaveGossipIntervals is the number of gossip intervals for which Leave waits. In a few rounds the
// update reaches other members over several paths.
const leaveGossipIntervals = 5

// Leave announces a planned stop. It blocks for leaveGossipIntervals, so that the update is sent
// several times, or until ctx ends. The node answers probes until Close.
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

// Close sends the departure of this node to some members and stops the service. It blocks until the
// service has stopped sending. Further calls have no effect.
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
