// Package store implements a fake of the platform's configuration store for tests and the demo. It
// serves the part of the etcd v3 HTTP/JSON gateway that internal/selfhosted/store calls and injects
// the faults of a real store. Keys and events are held in memory. The messages are defined in
// internal/selfhosted/store/wire.
package store

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Config configures a fake store.
type Config struct {
	// Address is the IP address and port to listen on; port 0 selects a free port.
	Address string `toml:"address" validate:"required"`
	// HistoryLimit is the number of revisions that are kept for watches. Older revisions are
	// compacted. Zero means no limit.
	HistoryLimit int64  `toml:"history_limit" validate:"gte=0"`
	Faults       Faults `toml:"faults"`
}

// Outage is the way in which the store is unavailable.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageUnavailable answers every call immediately with gRPC code 14 (unavailable) and has no
	// effect on the data.
	OutageUnavailable Outage = "unavailable"
	// OutageClose closes the connection of every call without executing or answering it.
	OutageClose Outage = "close"
	// OutageHang reads every call and neither executes nor answers it.
	OutageHang Outage = "hang"
)

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// RatePerSecond and Burst limit the calls of all clients together. Calls above the limit are
	// rejected with gRPC code 8 (resource exhausted). A rate of zero means no limit.
	RatePerSecond float64 `toml:"rate_per_second" json:"rate_per_second,omitempty" validate:"gte=0"`
	Burst         int     `toml:"burst" json:"burst,omitempty" validate:"gte=0"`
	Outage        Outage  `toml:"outage" json:"outage,omitempty" validate:"omitempty,oneof=unavailable close hang"`
	// Delay is the time that every call waits before it is executed.
	Delay settings.Duration `toml:"delay" json:"delay,omitempty" validate:"gte=0"`
	// WatchDelay is the time that each message of a watch waits before it is sent.
	WatchDelay settings.Duration `toml:"watch_delay" json:"watch_delay,omitempty" validate:"gte=0"`
	// LoseReplies is the number of upcoming writes that are executed and then have their connection
	// closed without a response.
	LoseReplies int `toml:"lose_replies" json:"lose_replies,omitempty" validate:"gte=0"`
}

// Validate returns an error for the first value that is out of range.
func (c Config) Validate() error {
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(c); err != nil {
		return oops.In("rehearsal.store").With("step", "settings").Wrap(err)
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return oops.In("rehearsal.store").With("step", "settings").
			Errorf("address: expected an IP address with a port, found %q", c.Address)
	}
	return nil
}
