// Package leaf is a stand-in for a leaf server, for rehearsals and tests. It
// serves the leaf protocol over HTTP/2 and HTTP/1.1 without TLS, runs
// statements over generated data, and brings about the faults of real leaves:
// slow and cold ones, full queues, draining, lying reports, lost replies. It owns its data,
// slots and execution log, and relies on internal/leaf for the messages and on
// internal/selfhosted/language and merge to run statements.
package leaf

import (
	"net/netip"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Config describes one stand-in leaf. Start from DefaultConfig.
type Config struct {
	// Listen is the address to serve on; port 0 picks a free one.
	Listen  netip.AddrPort `toml:"listen" validate:"required"`
	Service string         `toml:"service" validate:"required"`
	Zone    string         `toml:"zone"`
	// BootID identifies this run of the process; empty draws a new one.
	BootID string `toml:"boot_id"`
	// Slots is how many requests run at once; Queue how many may wait.
	Slots int `toml:"slots" validate:"min=1"`
	Queue int `toml:"queue" validate:"min=0"`
	// Connections limits the open connections; zero means no limit.
	Connections int `toml:"connections" validate:"min=0"`
	// Versions are the index versions held at the start.
	Versions []uint64 `toml:"versions" validate:"required,dive,min=1"`
	// Partitions are the partition epochs held at the start, with the shards
	// held of each.
	Partitions []Partition `toml:"partitions" validate:"required,dive"`
	// Seed seeds the service times.
	Seed uint64 `toml:"seed"`
	// Select and Insert are the service times of the statement kinds.
	Select ServiceTime `toml:"select"`
	Insert ServiceTime `toml:"insert"`
	// SlowFactor multiplies every service time.
	SlowFactor float64 `toml:"slow_factor" validate:"gt=0"`
	// ColdFor is how long the leaf is cold after its start. A cold leaf
	// refuses, or with ColdFactor above zero is slower by that factor.
	ColdFor    Duration `toml:"cold_for" validate:"min=0"`
	ColdFactor float64  `toml:"cold_factor" validate:"min=0"`
	// ReportScale multiplies the slots busy and the queue that the leaf
	// reports; ReportLag is the age of what it reports.
	ReportScale float64  `toml:"report_scale" validate:"min=0"`
	ReportLag   Duration `toml:"report_lag" validate:"min=0"`
	// GoAway sends GOAWAY on the connections of a draining leaf.
	GoAway bool `toml:"go_away"`
	// DrainTimeout bounds the wait for requests in flight at the end.
	DrainTimeout Duration `toml:"drain_timeout" validate:"gt=0"`
}

// Partition is a partition epoch with the shards that the leaf holds of it.
type Partition struct {
	Epoch uint64 `toml:"epoch" json:"epoch" validate:"min=1"`
	// Shards is the number of shards of the whole partition.
	Shards int   `toml:"shards" json:"shards" validate:"min=1"`
	Hold   []int `toml:"hold" json:"hold" validate:"dive,min=0"`
}

// ServiceTime is a lognormal distribution.
type ServiceTime struct {
	Median Duration `toml:"median" validate:"min=0"`
	// Sigma is the standard deviation of the logarithm; zero is constant.
	Sigma float64 `toml:"sigma" validate:"min=0"`
}

// Duration is written as text, such as "4ms".
type Duration = settings.Duration

// DefaultConfig returns the defaults. Service, Versions and Partitions have to
// be set; Listen is a free port of the loopback address.
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

// Validate reports the first settings that cannot work.
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
		return oops.With("step", "leaf_settings").Errorf("a partition needs an epoch and shards from 1 up")
	}
	for _, shard := range p.Hold {
		if shard < 0 || shard >= p.Shards {
			return oops.With("step", "leaf_settings").Errorf("shard %d is not in 0 to %d of epoch %d", shard, p.Shards-1, p.Epoch)
		}
	}
	return nil
}
