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

// LoadClient asks one leaf for its load report.
type LoadClient interface {
	Load(ctx context.Context, address netip.AddrPort) (*leaf.LoadReport, error)
	// Forget closes what is kept for a leaf that left the catalog.
	Forget(address netip.AddrPort)
}

// Sink takes what the HealthCheck learns. Its methods must not block and must
// not call the HealthCheck.
type Sink interface {
	// SetTopology receives a changed view of one service.
	SetTopology(service string, topology dispatch.Topology)
	// Observe receives one report of a leaf of a service.
	Observe(service string, address netip.AddrPort, load leaf.LoadSummary)
	// Notify receives marks that other nodes should be notified of.
	Notify(notices []Notice)
}

// HealthCheckConfig is what a HealthCheck needs.
type HealthCheckConfig struct {
	Table  Config
	Client LoadClient
	Sink   Sink
	Clock  clock.Clock
	Logger *slog.Logger
	// Interval is the time between two load polls of one leaf.
	Interval time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
}

// HealthCheck polls the leaves of the catalog and keeps a Table. It is safe
// for concurrent use.
type HealthCheck struct {
	config HealthCheckConfig

	mutex        sync.Mutex
	table        *Table
	published    map[string]dispatch.Topology
	pollers      map[netip.AddrPort]context.CancelFunc
	pollsRunning sync.WaitGroup
}

// NewHealthCheck returns a HealthCheck that polls nothing until SetCatalog.
func NewHealthCheck(config HealthCheckConfig) *HealthCheck {
	return &HealthCheck{
		config:    config,
		table:     New(config.Table),
		published: make(map[string]dispatch.Topology),
		pollers:   make(map[netip.AddrPort]context.CancelFunc),
	}
}

// SetCatalog installs a catalog and starts or stops polling its leaves.
func (h *HealthCheck) SetCatalog(current *catalog.Catalog) {
	h.update(func(Time) {
		h.table.SetCatalog(current)
		h.reconcilePollers()
	})
}

// Draining marks a leaf whose reply said that it is leaving.
func (h *HealthCheck) Draining(address netip.AddrPort, bootID string) {
	h.update(func(Time) { h.table.Draining(address, bootID) })
}

// MachineLeaving marks a leaf that the machine list calls leaving or gone.
func (h *HealthCheck) MachineLeaving(address netip.AddrPort, bootID string) {
	h.update(func(Time) { h.table.MachineLeaving(address, bootID) })
}

// Apply takes a notice of another node.
func (h *HealthCheck) Apply(notice Notice) {
	h.update(func(Time) { h.table.ApplyNotice(notice) })
}

// Marks returns the marks of leaving leaves in force.
func (h *HealthCheck) Marks() []Notice {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.table.LeavingMarks()
}

// Statuses lists every leaf of every service.
func (h *HealthCheck) Statuses() []LeafStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.table.Statuses(h.config.Clock.Now())
}

// Close stops all polls and blocks until they have ended.
func (h *HealthCheck) Close() {
	h.mutex.Lock()
	for address, stop := range h.pollers {
		stop()
		delete(h.pollers, address)
	}
	h.mutex.Unlock()
	h.pollsRunning.Wait()
}

// change runs one change of the table and publishes what it altered.
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
		if _, exists := h.table.Service(now, name); !exists {
			delete(h.published, name)
		}
	}
	for name := range h.table.catalog.Services {
		topology, _ := h.table.Service(now, name)
		previous, published := h.published[name]
		if published && reflect.DeepEqual(previous, topology) {
			continue
		}
		h.published[name] = topology
		h.config.Sink.SetTopology(name, topology)
	}
}

// reconcile starts a poller for each new leaf and stops those of leaves that
// left the catalog.
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

// poll asks one leaf periodically, with jitter so that polls spread out.
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
		h.update(func(Time) { h.table.ReportFailed(address) })
		return
	}
	h.update(func(now Time) {
		h.table.Report(now, address, *report)
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
