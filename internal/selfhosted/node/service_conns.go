package node

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/query"
)

// serviceConns holds one scatter connection for each service of the catalog. It is safe for
// concurrent use.
type serviceConns struct {
	dispatchConfig dispatch.Config
	scatterConfig  scatter.Config[string, rows.Table]
	// seed is combined with the service name to seed the random choices of its dispatcher.
	seed uint64

	mutex sync.Mutex
	conns map[string]*scatter.QueryRunner[string, rows.Table]
	// stopAt is the end of the process on the clock of the connections; zero if it is not known.
	stopAt dispatch.Time
	// closing waits for the connections of dropped services, which close once their queries have
	// ended.
	closing sync.WaitGroup
}

func newServiceConns(dispatchConfig dispatch.Config, scatterConfig scatter.Config[string, rows.Table], seed uint64) *serviceConns {
	return &serviceConns{
		dispatchConfig: dispatchConfig,
		scatterConfig:  scatterConfig,
		seed:           seed,
		conns:          make(map[string]*scatter.QueryRunner[string, rows.Table]),
	}
}

// Scatterer returns the connection of a service.
func (s *serviceConns) Scatterer(service string) (query.Scatterer, bool) {
	conn, ok := s.conn(service)
	return conn, ok
}

func (s *serviceConns) conn(service string) (*scatter.QueryRunner[string, rows.Table], bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn, ok := s.conns[service]
	return conn, ok
}

// SetTopology passes the leaves of a service to its connection, which is created if the service is
// new.
func (s *serviceConns) SetTopology(service string, topology dispatch.Topology) {
	s.mutex.Lock()
	conn, ok := s.conns[service]
	if !ok {
		conn = s.newConn(service)
		s.conns[service] = conn
	}
	s.mutex.Unlock()
	conn.SetTopology(topology)
}

func (s *serviceConns) newConn(service string) *scatter.QueryRunner[string, rows.Table] {
	config := s.scatterConfig
	config.Service = service
	config.AttemptPrefix = fmt.Sprintf("%s/%s", s.scatterConfig.AttemptPrefix, service)
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(service)))
	conn := scatter.NewQueryRunner(config, dispatch.New(s.dispatchConfig, random))
	if s.stopAt > 0 {
		conn.Stop(s.stopAt)
	}
	return conn
}

// stopWithin announces the end of the process, after the given time, to all connections. Every query
// ends by then.
func (s *serviceConns) stopWithin(remaining time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopAt = s.scatterConfig.Clock.Now() + remaining
	for _, conn := range s.conns {
		conn.Stop(s.stopAt)
	}
}

// Observe passes a leaf's load report to the connection of a service.
func (s *serviceConns) Observe(service string, address netip.AddrPort, load leaf.LoadSummary) {
	if conn, ok := s.conn(service); ok {
		conn.Observe(address, load)
	}
}

// removeDroppedServices closes the connections of services that are no longer in the catalog. Their
// running queries complete in the background.
func (s *serviceConns) removeDroppedServices(current *catalog.Catalog) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, conn := range s.conns {
		if _, ok := current.Services[name]; ok {
			continue
		}
		delete(s.conns, name)
		s.closing.Go(conn.Close)
	}
}

// countInFlight returns the number of queries in progress on all connections.
func (s *serviceConns) countInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, conn := range s.conns {
		total += conn.InFlight()
	}
	return total
}

// close closes all connections and blocks until their queries have ended.
func (s *serviceConns) close() {
	s.mutex.Lock()
	conns := s.conns
	s.conns = make(map[string]*scatter.QueryRunner[string, rows.Table])
	s.mutex.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	s.closing.Wait()
}
