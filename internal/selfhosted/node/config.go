package node

import (
	"github.com/micaplank/micaplank/internal/decide/once"
	"github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/selfhosted/dissemination"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
	"github.com/micaplank/micaplank/internal/settings"
)

// The functions in this file convert sections of the settings to the configurations of the parts;
// values that the settings do not contain keep the defaults of the parts.

func newStoreConfig(from settings.Store) store.Config {
	config := store.DefaultConfig()
	config.Endpoints = from.Endpoints
	config.Timeout = from.Timeout.Duration()
	config.Rate = from.Rate
	config.Burst = from.Burst
	return config
}

func newMachinesConfig(from settings.Machines) machines.Config {
	config := machines.DefaultConfig()
	config.Address = from.Address
	config.Interval = from.Interval.Duration()
	config.Timeout = from.Timeout.Duration()
	return config
}

func newLeafConfig(from settings.Leaf) leaf.Config {
	return leaf.Config{
		ConnectionsPerLeaf: from.ConnectionsPerLeaf,
		ConnectTimeout:     from.DialTimeout.Duration(),
	}
}

func newMembershipConfig(from settings.Membership) membership.Config {
	config := membership.DefaultConfig()
	config.ProbeInterval = from.ProbeInterval.Duration()
	config.ProbeTimeout = from.ProbeTimeout.Duration()
	config.IndirectProbes = from.IndirectProbes
	config.SuspicionMultiplier = from.SuspicionMultiplier
	config.SuspicionMaximumFactor = from.SuspicionMaximumFactor
	config.GossipInterval = from.GossipInterval.Duration()
	config.GossipFanout = from.GossipFanout
	return config
}

func newDisseminationConfig(from settings.Freshness) dissemination.Config {
	config := dissemination.DefaultConfig()
	config.Window = from.Window.Duration()
	config.ExchangeInterval = from.ExchangeInterval.Duration()
	return config
}

func newOnceConfig(from settings.Settings) once.Config {
	config := once.DefaultConfig()
	config.Window = from.Once.Window.Duration()
	config.Skew = from.Once.Skew.Duration()
	config.Capacity = from.Once.Capacity
	config.Freshness = from.Freshness.Window.Duration()
	return config
}
