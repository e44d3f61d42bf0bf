// Package route holds the declared configuration of a deployment: which routes exist, which
// services serve them, and how long a request may take. It finds the route of a request (Table) and
// divides the requests of a route among its targets (Splitter).
//
// A Config is one document with a rising version. It is installed as a whole, and a process never
// goes back to a lower version; see forward.Forwarder.Install. The package imports no other package
// of the module; the adapter to the platform decodes the document.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Config is one version of the declared configuration. It must not be modified once it is in use.
type Config struct {
	// Version rises with each change, possibly by more than one.
	Version uint64
	// Reissued is set if the operator has used the version, or a higher one, for another
	// configuration before the store was restored from a backup.
	Reissued bool
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route declares how the requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
	// Timeout is the longest time until a request is answered.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most; zero for none.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of leaves to which a request is sent, for each shard.
	MaxAttempts int
	// Targets lists the services that share the requests by weight. Exactly one of Targets and
	// Shards is set.
	Targets []Target
	// Shards lists the services that each answer a part of every request.
	Shards []string
	// TopK is the number of greatest records of all parts that form the answer.
	TopK int
	// MinCoverage is the minimum share of the shards, from 0 to 1, that a successful answer
	// contains.
	MinCoverage float64
}

// Services returns the services that may run requests of the route.
func (r *Route) Services() []string {
	services := slices.Clone(r.Shards)
	for _, target := range r.Targets {
		services = append(services, target.Service)
	}
	return services
}

// Target is a service that gets requests of a route in proportion to Weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable leaves.
type Service struct {
	Name string
	// MaxConnections is how many connections each leaf accepts from all clients together; zero if
	// unknown.
	MaxConnections int
	// ColdRate is how many requests per second a cold leaf can handle from all clients together;
	// zero for no bound.
	ColdRate float64
	// ColdTime is how long a leaf is cold after a start.
	ColdTime time.Duration
}

// Limits bounds the size and duration of client requests, and the idle time of client connections.
// A field that is zero means the default of the server.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Validate returns the first reason why the configuration cannot be used.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return fmt.Errorf("version is 0, want a number above 0")
	}
	for index := range c.Routes {
		if err := c.Routes[index].validate(); err != nil {
			return fmt.Errorf("route %d (%q): %w", index, c.Routes[index].Name, err)
		}
	}
	return nil
}

func (r *Route) validate() error {
	switch {
	case r.Host == "":
		return fmt.Errorf("host is empty")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("timeout %v is not above 0", r.Timeout)
	case r.MaxAttempts < 1:
		return fmt.Errorf("maximum attempts %d are less than 1", r.MaxAttempts)
	case (len(r.Targets) > 0) == (len(r.Shards) > 0):
		return fmt.Errorf("got %d targets and %d shards, want either targets or shards", len(r.Targets), len(r.Shards))
	case len(r.Shards) > 0 && r.TopK < 1:
		return fmt.Errorf("number of records %d is less than 1", r.TopK)
	case len(r.Shards) > 0 && !r.Repeatable:
		return fmt.Errorf("route with shards is not repeatable")
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return fmt.Errorf("minimum coverage %v is not between 0 and 1", r.MinCoverage)
	}
	return r.validateNames()
}

func (r *Route) validateNames() error {
	seen := make(map[string]bool, len(r.Shards))
	for _, shard := range r.Shards {
		if shard == "" || seen[shard] {
			return fmt.Errorf("shard %q is empty or named more than once", shard)
		}
		seen[shard] = true
	}
	total := 0.0
	for _, target := range r.Targets {
		if target.Service == "" || target.Weight < 0 {
			return fmt.Errorf("target %q with weight %v has no name or a negative weight", target.Service, target.Weight)
		}
		total += target.Weight
	}
	if len(r.Targets) > 0 && total <= 0 {
		return fmt.Errorf("total weight of the targets is 0")
	}
	return nil
}
