package node

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/selfhosted/query"
)

// services holds one scatter connection for each service of the catalog. It is
// safe for concurrent use.
type serviceConns struct {
	dispatchConfig dispatch.Config
	scatterConfig  scatter.Config[string, rows.Table]
	// seed fixes the random choices of the dispatchers.
	seed uint64

	mutex sync.Mutex
	conns map[string]*scatter.Conn[string, rows.Table]
	// ending counts connections of dropped services that still finish.
	closing sync.WaitGroup
}

func newServiceConns(dispatchConfig dispatch.Config, scatterConfig scatter.Config[string, rows.Table], seed uint64) *serviceConns {
	return &serviceConns{
		dispatchConfig: dispatchConfig,
		scatterConfig:  scatterConfig,
		seed:           seed,
		conns:          make(map[string]*scatter.Conn[string, rows.Table]),
	}
}

// Scatterer returns the connection of a service.
func (s *serviceConns) Scatterer(service string) (query.Scatterer, bool) {
	conn, ok := s.conn(service)
	return conn, ok
}

func (s *serviceConns) conn(service string) (*scatter.Conn[string, rows.Table], bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conn, ok := s.conns[service]
	return conn, ok
}

// SetTopology hands a service's leaves to its connection, which is made if the
// service is new.
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

func (s *serviceConns) newConn(service string) *scatter.Conn[string, rows.Table] {
	config := s.scatterConfig
	config.Service = service
	config.AttemptPrefix = fmt.Sprintf("%s/%s", s.scatterConfig.AttemptPrefix, service)
	random := rand.New(rand.NewPCG(s.seed, xxhash.Sum64String(service)))
	return scatter.NewConn(config, dispatch.New(s.dispatchConfig, random))
}

// Observe hands a load report to the connection of a service.
func (s *serviceConns) Observe(service string, address netip.AddrPort, load leaf.LoadSummary) {
	if conn, ok := s.conn(service); ok {
		conn.Observe(address, load)
	}
}

// setCatalog drops the connections of services that the catalog no longer has.
// Their running queries finish in the background.
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

// inFlight returns the number of queries that have not ended.
func (s *serviceConns) countInFlight() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total := 0
	for _, conn := range s.conns {
		total += conn.InFlight()
	}
	return total
}

// close blocks until every query has ended.
func (s *serviceConns) close() {
	s.mutex.Lock()
	conns := s.conns
	s.conns = make(map[string]*scatter.Conn[string, rows.Table])
	s.mutex.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	s.closing.Wait()
}
