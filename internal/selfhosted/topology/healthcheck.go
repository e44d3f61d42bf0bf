package topology

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
)

// LoadClient requests load reports from leaves.
type LoadClient interface {
	Load(ctx context.Context, address netip.AddrPort) (*leaf.LoadReport, error)
	// Forget closes the connections to a leaf that is no longer in the catalog.
	Forget(address netip.AddrPort)
}

// Sink receives the results of a HealthCheck. Its methods must not block and must not call the
// HealthCheck.
type Sink interface {
	// SetTopology receives the topology of a service after a change.
	SetTopology(service string, topology dispatch.Topology)
	// Observe receives one load report of a leaf of a service.
	Observe(service string, address netip.AddrPort, load leaf.LoadSummary)
	// Notify receives the marks to send to other nodes.
	Notify(notices []Notice)
}

// HealthCheckConfig configures a HealthCheck.
type HealthCheckConfig struct {
	Table  Config
	Client LoadClient
	Sink   Sink
	Clock  clock.Clock
	Logger *slog.Logger
	// Interval is the time between two load polls of one leaf, without jitter.
	Interval time.Duration
	// Timeout is the maximum duration of one poll.
	Timeout time.Duration
}

// HealthCheck polls the leaves of the catalog and maintains a Table. It is safe for concurrent use.
type HealthCheck struct {
	config HealthCheckConfig

	mutex        sync.Mutex
	table        *Table
	published    map[string]dispatch.Topology
	pollers      map[netip.AddrPort]context.CancelFunc
	pollsRunning sync.WaitGroup
}

// NewHealthCheck returns a HealthCheck that polls no leaf until SetCatalog is called.
func NewHealthCheck(config HealthCheckConfig) *HealthCheck {
	return &HealthCheck{
		config:    config,
		table:     NewTable(config.Table),
		published: make(map[string]dispatch.Topology),
		pollers:   make(map[netip.AddrPort]context.CancelFunc),
	}
}

// SetCatalog installs a catalog, starts the polls of its new leaves and stops those of removed
// leaves.
func (h *HealthCheck) SetCatalog(current *catalog.Catalog) {
	h.update(func(Time) {
		h.table.SetCatalog(current)
		h.reconcilePollers()
	})
}

// MarkDraining marks a leaf whose reply said that it is draining.
func (h *HealthCheck) MarkDraining(address netip.AddrPort, bootID string) {
	h.update(func(Time) { h.table.MarkDraining(address, bootID) })
}

// MarkMachineLeaving marks a leaf that the machine list shows as leaving or gone.
func (h *HealthCheck) MarkMachineLeaving(address netip.AddrPort, bootID string) {
	h.update(func(Time) { h.table.MarkMachineLeaving(address, bootID) })
}

// ApplyNotice applies a notice of another node.
func (h *HealthCheck) ApplyNotice(notice Notice) {
	h.update(func(Time) { h.table.ApplyNotice(notice) })
}

// LeavingMarks returns the current marks of leaving leaves.
func (h *HealthCheck) LeavingMarks() []Notice {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.table.LeavingMarks()
}

// Statuses returns the status of every leaf of every service.
func (h *HealthCheck) Statuses() []LeafStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.table.Statuses(h.config.Clock.Now())
}

// Close stops all polls and waits until they have ended.
func (h *HealthCheck) Close() {
	h.mutex.Lock()
	for address, stop := range h.pollers {
		stop()
		delete(h.pollers, address)
	}
	h.mutex.Unlock()
	h.pollsRunning.Wait()
}

// update applies a change to the table and passes changed topologies and new notices to the sink.
func (h *HealthCheck) update(apply func(now Time)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.config.Clock.Now()
	apply(now)
	h.publish(now)
	if notices := h.table.TakeNotices(); len(notices) > 0 {
		h.config.Sink.Notify(notices)
	}
}

func (h *HealthCheck) publish(now Time) {
	for name := range h.published {
		if _, exists := h.table.ServiceTopology(now, name); !exists {
			delete(h.published, name)
		}
	}
	for name := range h.table.catalog.Services {
		topology, _ := h.table.ServiceTopology(now, name)
		previous, published := h.published[name]
		if published && reflect.DeepEqual(previous, topology) {
			continue
		}
		h.published[name] = topology
		h.config.Sink.SetTopology(name, topology)
	}
}

// reconcilePollers starts a poller for each new leaf and stops the pollers of leaves that are no
// longer in the catalog.
func (h *HealthCheck) reconcilePollers() {
	configured := make(map[netip.AddrPort]bool)
	for _, address := range h.table.Addresses() {
		configured[address] = true
		if h.pollers[address] == nil {
			h.startPoller(address)
		}
	}
	for address, stop := range h.pollers {
		if configured[address] {
			continue
		}
		stop()
		delete(h.pollers, address)
		h.config.Client.Forget(address)
	}
}

func (h *HealthCheck) startPoller(address netip.AddrPort) {
	ctx, cancel := context.WithCancel(context.Background())
	h.pollers[address] = cancel
	h.pollsRunning.Add(1)
	go h.poll(ctx, address)
}

// poll requests the load report of a leaf periodically. Jitter of up to a fifth of the interval
// spreads the polls.
func (h *HealthCheck) poll(ctx context.Context, address netip.AddrPort) {
	defer h.pollsRunning.Done()
	for {
		h.pollOnce(ctx, address)
		jitter := time.Duration(rand.Int64N(int64(h.config.Interval)/5 + 1))
		select {
		case <-ctx.Done():
			return
		case <-time.After(h.config.Interval + jitter):
		}
	}
}

func (h *HealthCheck) pollOnce(ctx context.Context, address netip.AddrPort) {
	pollContext, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	report, err := h.config.Client.Load(pollContext, address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		h.update(func(Time) { h.table.RecordPollFailure(address) })
		return
	}
	h.update(func(now Time) {
		h.table.RecordReport(now, address, *report)
		h.observe(address, report.LoadSummary)
	})
}

func (h *HealthCheck) observe(address netip.AddrPort, load leaf.LoadSummary) {
	for name, service := range h.table.catalog.Services {
		if _, exists := service.Leaves[address]; exists {
			h.config.Sink.Observe(name, address, load)
		}
	}
}
