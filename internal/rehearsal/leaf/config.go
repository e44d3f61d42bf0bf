// Package leaf implements a fake leaf server for rehearsals and tests. It serves the leaf protocol
// over HTTP/2 and HTTP/1.1 without TLS and executes statements over generated data. It can inject
// the faults of real leaves: long service times, cold starts, full queues, draining, wrong load
// reports and lost replies. The messages are defined in internal/leaf, and statements are executed
// by internal/selfhosted/language and internal/selfhosted/merge.
package leaf

import (
	"net/netip"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Config configures a fake leaf. DefaultConfig returns the defaults.
type Config struct {
	// Listen is the address to listen on; port 0 selects a free port.
	Listen  netip.AddrPort `toml:"listen" validate:"required"`
	Service string         `toml:"service" validate:"required"`
	Zone    string         `toml:"zone"`
	// BootID identifies this run of the process. If it is empty, a new ID is generated.
	BootID string `toml:"boot_id"`
	// Slots is the number of requests that run concurrently, and Queue the number that may wait.
	Slots int `toml:"slots" validate:"min=1"`
	Queue int `toml:"queue" validate:"min=0"`
	// Connections limits the number of open connections. Zero means no limit.
	Connections int `toml:"connections" validate:"min=0"`
	// Versions are the index versions that the leaf holds at the start.
	Versions []uint64 `toml:"versions" validate:"required,dive,min=1"`
	// Partitions are the partition epochs that the leaf holds at the start, with the shards of
	// each.
	Partitions []Partition `toml:"partitions" validate:"required,dive"`
	// Seed is the seed of the random service times.
	Seed uint64 `toml:"seed"`
	// Select and Insert are the service times of select and insert statements.
	Select ServiceTime `toml:"select"`
	Insert ServiceTime `toml:"insert"`
	// SlowFactor multiplies every service time.
	SlowFactor float64 `toml:"slow_factor" validate:"gt=0"`
	// ColdFor is the time after the start for which the leaf is cold. A cold leaf refuses requests
	// if ColdFactor is zero, and otherwise multiplies every service time by ColdFactor.
	ColdFor    Duration `toml:"cold_for" validate:"min=0"`
	ColdFactor float64  `toml:"cold_factor" validate:"min=0"`
	// ReportScale multiplies the number of busy slots and the queue length in load reports.
	// ReportLag is the age of the reported load.
	ReportScale float64  `toml:"report_scale" validate:"min=0"`
	ReportLag   Duration `toml:"report_lag" validate:"min=0"`
	// GoAway makes a draining leaf send GOAWAY on its HTTP/2 connections.
	GoAway bool `toml:"go_away"`
	// DrainTimeout limits the wait for requests in flight when the leaf stops.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gt=0"`
}

// Partition is a partition epoch and the shards that the leaf holds of it.
type Partition struct {
	Epoch uint64 `toml:"epoch" json:"epoch" validate:"min=1"`
	// Shards is the total number of shards in the partition.
	Shards int   `toml:"shards" json:"shards" validate:"min=1"`
	Hold   []int `toml:"hold" json:"hold" validate:"dive,min=0"`
}

// ServiceTime is a lognormal distribution of service times.
type ServiceTime struct {
	Median Duration `toml:"median" validate:"min=0"`
	// Sigma is the standard deviation of the logarithm. Zero makes the service time constant.
	Sigma float64 `toml:"sigma" validate:"min=0"`
}

// Duration is a time.Duration that is written as text in settings, such as "4ms".
type Duration = settings.Duration

// DefaultConfig returns the defaults. The leaf listens on a free port of the loopback address. The
// caller must set Service, Versions and Partitions.
func DefaultConfig() Config {
	return Config{
		Listen:       netip.MustParseAddrPort("127.0.0.1:0"),
		Slots:        5,
		Queue:        64,
		Connections:  110,
		Select:       ServiceTime{Median: Duration(2 * time.Millisecond), Sigma: 0.3},
		Insert:       ServiceTime{Median: Duration(4 * time.Millisecond), Sigma: 0.3},
		SlowFactor:   1,
		ReportScale:  1,
		GoAway:       true,
		DrainTimeout: Duration(30 * time.Second),
	}
}

// Validate returns an error for the first invalid setting.
func (c Config) Validate() error {
	if err := validator.New().Struct(c); err != nil {
		return oops.With("step", "leaf_settings").Wrap(err)
	}
	for _, partition := range c.Partitions {
		if err := partition.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (p Partition) validate() error {
	if p.Epoch < 1 || p.Shards < 1 {
		return oops.With("step", "leaf_settings").
			Errorf("partition: epoch %d and shard count %d must be at least 1", p.Epoch, p.Shards)
	}
	for _, shard := range p.Hold {
		if shard < 0 || shard >= p.Shards {
			return oops.With("step", "leaf_settings").
				Errorf("partition of epoch %d: shard %d is not in the range 0 to %d", p.Epoch, shard, p.Shards-1)
		}
	}
	return nil
}
