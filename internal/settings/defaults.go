package settings

import (
	"net/netip"
	"time"
)

// Defaults returns the settings of a node on this machine, without a name and
// zone: those have no default.
func Defaults() Settings {
	return Settings{
		Region: "local",
		Listen: Listen{
			HTTP: netip.MustParseAddrPort("127.0.0.1:7201"),
			Peer: netip.MustParseAddrPort("127.0.0.1:7301"),
		},
		Peers: Peers{Seeds: []netip.AddrPort{}},
		Store: Store{
			Endpoints: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001")},
			Timeout:   Duration(2 * time.Second), Rate: 50, Burst: 25,
		},
		Machines: Machines{
			Address:  netip.MustParseAddrPort("127.0.0.1:7002"),
			Interval: Duration(time.Second), Timeout: Duration(time.Second),
		},
		Leaf: Leaf{
			ConnectionsPerLeaf: 2, LoadInterval: Duration(250 * time.Millisecond), DialTimeout: Duration(500 * time.Millisecond),
		},
		Limits:     Limits{BodyBytes: 1 << 20, Concurrency: 4096, DrainTimeout: Duration(30 * time.Second)},
		Once:       Once{Window: Duration(5 * time.Minute), Skew: Duration(5 * time.Second), Capacity: 1 << 20},
		Freshness:  Freshness{Window: Duration(5 * time.Second), ExchangeInterval: Duration(500 * time.Millisecond)},
		Membership: defaultMembership(),
		Process:    Process{Cores: 1, CoreShare: 1},
		Forward:    defaultForward(),
		Log:        Log{Format: "text", Level: "info"},
	}
}

// defaultForward returns the defaults of micaplank-edge.
func defaultForward() Forward {
	return Forward{
		// Paired trials, worth: 0.7585 with these three; 0.7566 with a settle_share of 0.95,
		// 0.7554 and 0.7569 with a hedge_share of 0.18 and 0.35, 0.7569 and 0.7582 with a
		// hedge_percentile of 0.8 and 0.95.
		SettleShare:     0.9,
		HedgeShare:      0.25,
		HedgePercentile: 0.9,
		// Not measured by itself: it stands for the way between client and node.
		ClientAllowance: Duration(6 * time.Millisecond),
		// Package linger has the figures.
		Linger: Duration(100 * time.Millisecond),
		// What all nodes together may cause by the bounds of the platform.
		ExtraRatio:  0.2,
		ExtraSlack:  56,
		ExtraWindow: Duration(10 * time.Second),
		// Exactly what a service declares. Package warmup has the rule.
		ColdOvershoot: 1,
		// Package quarantine has the rule and the reason.
		QuarantineAfter: 3,
		// Not measured: chosen so that a node that has not counted the others spends a small
		// share.
		ExtraNodes: 12,
		// With executors, 40, 24 and 16 nodes of one size earned 0.12, 0.09 and 0.06 more on
		// one day with trouble.
		EqualNodes: 16,
		// Silence of the store counts as loss after 3.5 s, below the 4 s after which a node
		// counts as in touch with it.
		WatchWait: Duration(2800 * time.Millisecond),
		// Not measured: chosen so that changes in quick succession come together.
		WatchGather: Duration(500 * time.Millisecond),
		// Package removal has the reasons of both.
		LeafDoubt:    Duration(2 * time.Second),
		LeafSettling: Duration(3 * time.Second),
		// That of the deployments that the product was run with.
		LeafHeartbeat: Duration(1200 * time.Millisecond),
		// Not measured: chosen to leave time for what is in flight within the 6 s that a
		// planned stop has.
		DrainDelay: Duration(3500 * time.Millisecond),
		// Not measured: chosen for configurations that do not say.
		IdleTimeout: Duration(time.Minute),
	}
}

// defaultMembership returns the defaults of failure detection in micaplank.
func defaultMembership() Membership {
	return Membership{
		ProbeInterval:          Duration(time.Second),
		ProbeTimeout:           Duration(350 * time.Millisecond),
		IndirectProbes:         3,
		SuspicionMultiplier:    3,
		SuspicionMaximumFactor: 3,
		GossipInterval:         Duration(200 * time.Millisecond),
		GossipFanout:           3,
	}
}
