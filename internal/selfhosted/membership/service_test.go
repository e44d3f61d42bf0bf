package membership

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
)

// datagramHub delivers datagrams between services of this process.
type datagramHub struct {
	mutex      sync.Mutex
	services   map[netip.AddrPort]*Service
	deliveries sync.WaitGroup
}

type hubPort struct {
	hub  *datagramHub
	from netip.AddrPort
}

func (p hubPort) Send(to netip.AddrPort, payload []byte) error {
	p.hub.mutex.Lock()
	defer p.hub.mutex.Unlock()
	target := p.hub.services[to]
	if target == nil {
		return fmt.Errorf("no route to %v", to)
	}
	p.hub.deliveries.Go(func() { target.Receive(p.from, payload) })
	return nil
}

func startTestServices(t *testing.T, size int) []*Service {
	t.Helper()
	hub := &datagramHub{services: make(map[netip.AddrPort]*Service)}
	config := DefaultConfig()
	config.TickInterval, config.ProbeInterval = 5*time.Millisecond, 50*time.Millisecond
	config.ProbeTimeout, config.GossipInterval = 20*time.Millisecond, 10*time.Millisecond
	services := make([]*Service, size)
	for i := range services {
		self := Member{Name: nodeName(i), Zone: "zone-1", Region: "region-1", Address: address(i, 1), HTTPAddress: address(i, 1)}
		services[i] = NewService(Options{
			Config: config, Self: self, Seeds: []netip.AddrPort{address(0, 1)},
			Datagrams: hubPort{hub, self.Address}, Registerer: prometheus.NewRegistry(),
		})
		hub.mutex.Lock()
		hub.services[self.Address] = services[i]
		hub.mutex.Unlock()
	}
	for _, service := range services {
		service.Start()
	}
	t.Cleanup(func() {
		for _, service := range services {
			service.Close()
		}
		hub.deliveries.Wait()
	})
	return services
}

func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition %q not met after 2000 polls", description)
}

func TestServicesDiscoverEachOtherAndLeave(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	services := startTestServices(t, 5)
	waitUntil(t, "every service lists all members", func() bool {
		for _, service := range services {
			if len(service.Members()) != len(services) {
				return false
			}
		}
		return true
	})
	events, cancel := services[0].Subscribe()
	defer cancel()
	if err := services[4].Leave(context.Background()); err != nil {
		t.Fatal(err)
	}
	services[4].Close()
	for event := range events {
		if event.Member.Name == nodeName(4) && event.Member.State == StateGone {
			break
		}
	}
}

func TestServiceRegistersAllMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	service := NewService(Options{Config: DefaultConfig(), Self: Member{Name: "a", Address: address(1, 1)}, Registerer: registry})
	defer service.Close()
	families, err := registry.Gather()
	if err != nil || len(families) != 19 {
		t.Fatalf("Gather returned %d metric families and error %v, want 19 and no error", len(families), err)
	}
}
