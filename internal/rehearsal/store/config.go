// Package store is a stand-in for the platform's configuration store, for
// tests and the demo. It serves the same part of the etcd v3 HTTP/JSON gateway that
// internal/selfhosted/store calls, and can be made to fail in the ways that the real one
// does. It owns its keys, leases and history, all in memory, and relies on
// internal/selfhosted/store/wire for the messages.
package store

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/settings"
)

// Config says where the stand-in listens and how it starts.
type Config struct {
	// Address is an IP address with a port; port 0 picks a free one.
	Address string `toml:"address" validate:"required"`
	// HistoryLimit is how many revisions are kept for watches before the
	// oldest are compacted; zero means all.
	HistoryLimit int64  `toml:"history_limit" validate:"gte=0"`
	Faults       Faults `toml:"faults"`
}

// Outage is a way for the store to be down.
type Outage string

// The outages.
const (
	OutageNone Outage = ""
	// OutageUnavailable: every call is answered at once with code 14, without effect.
	OutageUnavailable Outage = "unavailable"
	// OutageClose: connections are closed without a response and without effect.
	OutageClose Outage = "close"
	// OutageHang: calls are read, have no effect and get no response.
	OutageHang Outage = "hang"
)

// Faults is what goes wrong. The zero value is a healthy store.
type Faults struct {
	// RatePerSecond and Burst bound the calls of all clients together; calls
	// over it get code 8 without effect. A zero rate means no limit.
	RatePerSecond float64 `toml:"rate_per_second" json:"rate_per_second,omitempty" validate:"gte=0"`
	Burst         int     `toml:"burst" json:"burst,omitempty" validate:"gte=0"`
	Outage        Outage  `toml:"outage" json:"outage,omitempty" validate:"omitempty,oneof=unavailable close hang"`
	// Delay is added to every call before it takes effect.
	Delay settings.Duration `toml:"delay" json:"delay,omitempty" validate:"gte=0"`
	// WatchDelay is added before each message of a watch.
	WatchDelay settings.Duration `toml:"watch_delay" json:"watch_delay,omitempty" validate:"gte=0"`
	// LoseReplies is how many of the next writes take effect and then have
	// their connection closed without a response.
	LoseReplies int `toml:"lose_replies" json:"lose_replies,omitempty" validate:"gte=0"`
}

// Check reports the first value that is out of range.
func (c Config) Check() error {
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(c); err != nil {
		return oops.In("rehearsal.store").With("step", "settings").Wrap(err)
	}
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return oops.In("rehearsal.store").With("step", "settings").
			Errorf("address: expected an IP address with a port, found %q", c.Address)
	}
	return nil
}
