package settings

import (
	"net/netip"
	"time"
)

// Defaults returns the settings of a node that runs on the local host. Name and Zone are empty
// because they have no default.
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
		Once:       AtMostOnce{Window: Duration(5 * time.Minute), Skew: Duration(5 * time.Second), Capacity: 1 << 20},
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
		// A settle_share of 0.95 gave worse results.
		SettleShare: 0.9,
		// A hedge_share of 0.18 or of 0.35 gave worse results.
		HedgeShare: 0.25,
		// A hedge_percentile of 0.8 or of 0.95 gave worse results.
		HedgePercentile: 0.9,
		// The allowance covers the network latency between the client and the node.
		ClientAllowance: Duration(6 * time.Millisecond),
		// Package linger explains the value.
		Linger: Duration(100 * time.Millisecond),
		// The platform limits the extra attempts of all nodes together to these values.
		ExtraRatio:  0.2,
		ExtraSlack:  56,
		ExtraWindow: Duration(10 * time.Second),
		// 1 allows exactly the rate that a service declares. Package warmup implements the rule.
		ColdOvershoot: 1,
		// Package quarantine implements the rule and explains the value.
		QuarantineAfter: 3,
		// A node that does not yet know the number of nodes uses only a twelfth of extra_slack.
		ExtraNodes: 12,
		// Running the requests of many shards on two executors in each zone improved the results of
		// deployments with 16, 24 and 40 nodes of one size. Larger deployments gained more.
		EqualNodes: 16,
		// The node treats the store as lost after 3.5 s of silence, so a watch must respond
		// earlier. The 3.5 s are in turn less than the 4 s that decide whether a node counts as
		// connected to the store.
		WatchWait: Duration(2800 * time.Millisecond),
		// The pause combines changes in quick succession into one watch response.
		WatchGather: Duration(500 * time.Millisecond),
		// Package removal explains both values.
		LeafDoubt:    Duration(2 * time.Second),
		LeafSettling: Duration(3 * time.Second),
		// Leaves of the supported deployments announce themselves at this interval.
		LeafHeartbeat: Duration(1200 * time.Millisecond),
		// The delay leaves 2.5 s of stop_timeout for requests in flight.
		DrainDelay: Duration(3500 * time.Millisecond),
		// The supported deployments allow this time.
		StopTimeout: Duration(6 * time.Second),
		// The timeout applies if the installed configuration does not specify one.
		IdleTimeout: Duration(time.Minute),
	}
}

// defaultMembership returns the defaults of micaplank's failure detection.
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
