package route

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Table finds the route of a request in one version of the configuration. It is immutable.
type Table struct {
	Config *Config
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns the table of a configuration, and keeps a reference to it.
func NewTable(config *Config) *Table {
	table := &Table{Config: config, byHost: make(map[string][]*Route)}
	for index := range config.Routes {
		route := &config.Routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	return table
}

// Match returns the route of the host with the longest prefix of the path. The host may contain a
// port.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.byHost[hostname(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

func hostname(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Splitter divides the requests of routes among their targets by smooth weighted round robin, so
// that the counts of any run of requests are close to the weights. Each Splitter starts at a random
// position of the round: otherwise many nodes that receive a few requests each would send all of
// them to the heaviest target. It is safe for concurrent use.
type Splitter struct {
	random func(n int) int
	mutex  sync.Mutex
	routes map[string]*splitState
}

// startPositions is the number of positions of a round at which a Splitter may start. With so many,
// weights of one hundredth get their share.
const startPositions = 100

// splitState is the state of one route.
type splitState struct {
	targets []Target
	credit  []float64
}

// NewSplitter returns a Splitter. The function random returns a number from 0 to n-1.
func NewSplitter(random func(n int) int) *Splitter {
	return &Splitter{random: random, routes: make(map[string]*splitState)}
}

// PickService returns the service for the next request of a route that has targets.
func (s *Splitter) PickService(route *Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, exists := s.routes[route.Name]
	if !exists || !slices.Equal(state.targets, route.Targets) {
		state = &splitState{targets: route.Targets, credit: make([]float64, len(route.Targets))}
		for range s.random(startPositions) {
			state.pickNext()
		}
		s.routes[route.Name] = state
	}
	return state.pickNext()
}

// Retain drops the state of routes that a configuration does not contain.
func (s *Splitter) Retain(config *Config) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := make(map[string]bool, len(config.Routes))
	for _, route := range config.Routes {
		names[route.Name] = true
	}
	for name := range s.routes {
		if !names[name] {
			delete(s.routes, name)
		}
	}
}

func (s *splitState) pickNext() string {
	total, best := 0.0, 0
	for index, target := range s.targets {
		total += target.Weight
		s.credit[index] += target.Weight
		if s.credit[index] > s.credit[best] {
			best = index
		}
	}
	s.credit[best] -= total
	return s.targets[best].Service
}
