// Package settings loads the settings of a node process from a TOML file and from command-line
// flags that override the file. Both node programs have the same settings.
//
// The package defines the names, types, defaults and ranges of all keys. Unknown keys, wrong types
// and values out of range result in errors that name the file, the line, the key and the expected
// value. Package catalog defines the syntax of names. The package that uses a setting implements
// its effect.
package settings

import "net/netip"

// Settings is the startup configuration of a node process. The tag "expect" describes the valid
// values of a key in error messages, and the tag "comment" describes its effect in printed
// settings.
type Settings struct {
	Name      string     `toml:"name" comment:"Slot of this node, unique among the nodes. A replacement machine takes its predecessor's." validate:"required,slot" expect:"a lower-case letter and at most 62 more lower-case letters, digits and hyphens, such as \"node-a1\""`
	Zone      string     `toml:"zone" comment:"Zone and region of this machine." validate:"required,slot" expect:"a lower-case letter and at most 62 more lower-case letters, digits and hyphens, such as \"a\""`
	Region    string     `toml:"region" validate:"required,slot" expect:"a lower-case letter and at most 62 more lower-case letters, digits and hyphens, such as \"tokyo\""`
	Advertise netip.Addr `toml:"advertise" comment:"IP address at which other nodes reach this one. Empty: that of listen.peer." validate:"concrete" expect:"an IP address such as \"10.0.0.7\", or \"\""`

	Listen     Listen     `toml:"listen"`
	Peers      Peers      `toml:"peers"`
	Store      Store      `toml:"store"`
	Machines   Machines   `toml:"machines"`
	Leaf       Leaf       `toml:"leaf"`
	Limits     Limits     `toml:"limits"`
	Once       AtMostOnce `toml:"once"`
	Freshness  Freshness  `toml:"freshness"`
	Membership Membership `toml:"membership"`
	Process    Process    `toml:"process"`
	Forward    Forward    `toml:"forward"`
	Log        Log        `toml:"log"`
}

// Process declares the machine resources that the process may use.
type Process struct {
	Cores          float64 `toml:"cores" comment:"Processor of the machine, as cores of ordinary speed, and the share of each that the process gets." validate:"gt=0" expect:"a number above 0"`
	CoreShare      float64 `toml:"core_share" validate:"gt=0,lte=1" expect:"a number above 0, at most 1"`
	MaxDescriptors int     `toml:"max_descriptors" comment:"Descriptors that the process may open. 0: the limit of the process." validate:"gte=0" expect:"a whole number, 0 or above"`
	MemoryBytes    int64   `toml:"memory_bytes" comment:"Memory that the process may use; the garbage collector keeps below nine tenths of it. 0: no limit." validate:"gte=0" expect:"a whole number of bytes, 0 or above"`
}

// Forward configures how micaplank-edge forwards opaque requests by a declared configuration.
type Forward struct {
	SettleShare       float64  `toml:"settle_share" comment:"Share of a route's objective after which an answer with enough coverage is given." validate:"gt=0,lte=1" expect:"a number above 0, at most 1"`
	ClientAllowance   Duration `toml:"client_allowance" comment:"Time on the way between a caller and the node that counts for the objective and is not seen here." validate:"gte=0" expect:"a duration, 0 or above, such as \"6ms\""`
	HedgeShare        float64  `toml:"hedge_share" comment:"Share of a route's objective after which an attempt counts as late, at the latest." validate:"gt=0,lte=1" expect:"a number above 0, at most 1"`
	HedgePercentile   float64  `toml:"hedge_percentile" comment:"Quantile of recent latency after which an attempt counts as late." validate:"gt=0,lt=1" expect:"a number between 0 and 1"`
	Linger            Duration `toml:"linger" comment:"How long an attempt that is not wanted any more may go on, so that its connection can be used again." validate:"gte=0" expect:"a duration, 0 or above, such as \"300ms\""`
	ExtraRatio        float64  `toml:"extra_ratio" comment:"Extra attempts that all nodes together may cause at a service: this share of its requests, and extra_slack more, in any window." validate:"gte=0,lte=1" expect:"a number from 0 to 1"`
	ExtraSlack        float64  `toml:"extra_slack" validate:"gte=0" expect:"a number, 0 or above"`
	ExtraWindow       Duration `toml:"extra_window" comment:"Window in which extra_slack counts." validate:"gt=0" expect:"a duration above 0, such as \"10s\""`
	ColdOvershoot     float64  `toml:"cold_overshoot" comment:"What all nodes together may send to a cold leaf in a second: this many times what its service declares, and cold_slack more." validate:"gt=0" expect:"a number above 0"`
	ColdSlack         float64  `toml:"cold_slack" validate:"gte=0" expect:"a number, 0 or above"`
	CanaryRatio       float64  `toml:"canary_ratio" comment:"What all nodes together may send to a version that is being rolled out: this share of its service's requests, and canary_slack more. Both 0: orders of roll-outs are not heeded." validate:"gte=0,lte=1" expect:"a number from 0 to 1"`
	CanarySlack       float64  `toml:"canary_slack" validate:"gte=0" expect:"a number, 0 or above"`
	QuarantineAfter   int      `toml:"quarantine_after" comment:"Leaves that end under a request, of which none has answered it, before it is tried on one leaf alone, and refused if that ends, too. 0: never." validate:"gte=0,lte=8" expect:"a whole number from 0 to 8"`
	ExtraNodes        int      `toml:"extra_nodes" comment:"Nodes that are taken to share extra_slack until they are counted." validate:"gte=1" expect:"a whole number, 1 or above"`
	EqualNodes        int      `toml:"equal_nodes" comment:"Least number of nodes of one size, of 0.6 cores or more, of which two in each zone run the requests of many shards for all. 0: each runs its own." validate:"gte=0" expect:"a whole number, 0 or above"`
	WatchWait         Duration `toml:"watch_wait" comment:"Longest wait of one watch of the store." validate:"gt=0" expect:"a duration above 0, such as \"2500ms\""`
	WatchGather       Duration `toml:"watch_gather" comment:"Pause after changes before the next watch, so that changes in quick succession come together." validate:"gte=0" expect:"a duration, 0 or above, such as \"250ms\""`
	LeafDoubt         Duration `toml:"leaf_doubt" comment:"How long a leaf is still used whose entry went around an outage of the store." validate:"gte=0" expect:"a duration, 0 or above, such as \"2s\""`
	LeafHeartbeat     Duration `toml:"leaf_heartbeat" comment:"Time between two announcements of a leaf; after three of silence its entry goes." validate:"gt=0" expect:"a duration above 0, such as \"1.2s\""`
	LeafSettling      Duration `toml:"leaf_settling" comment:"Time after an outage of the store in which leaves announce themselves again." validate:"gte=0" expect:"a duration, 0 or above, such as \"3s\""`
	DrainDelay        Duration `toml:"drain_delay" comment:"Time of a planned stop in which connections are still taken, until callers have moved." validate:"gte=0" expect:"a duration, 0 or above, such as \"3500ms\""`
	StopTimeout       Duration `toml:"stop_timeout" comment:"Time that the platform allows for a planned stop before it kills the process." validate:"gt=0" expect:"a duration above 0, such as \"6s\""`
	ClientConnections int      `toml:"client_connections" comment:"Connections of callers that are open at once at most; beyond it, one is closed that has sent no whole request. 0: half of process.max_descriptors, and what a sixth of process.memory_bytes bears." validate:"gte=0" expect:"a whole number, 0 or above"`
	ClientBytes       int64    `toml:"client_bytes" comment:"Memory for requests of callers that are not answered yet; beyond it, the largest is cut off that is not whole. 0: a third of process.memory_bytes." validate:"gte=0" expect:"a whole number of bytes, 0 or above"`
	IdleTimeout       Duration `toml:"idle_timeout" comment:"How long a caller's connection may rest, unless the configuration in force says." validate:"gt=0" expect:"a duration above 0, such as \"1m\""`
}

// Listen holds the addresses on which the node listens.
type Listen struct {
	HTTP    netip.AddrPort `toml:"http" comment:"Callers and operators." validate:"required" expect:"an IP address with a port, such as \"127.0.0.1:7201\""`
	Ready   netip.AddrPort `toml:"ready" comment:"Questions whether the node takes work. Empty: none are served apart." validate:"remote_or_empty" expect:"an IP address with a port, or \"\""`
	Metrics netip.AddrPort `toml:"metrics" comment:"Metrics. Empty: none are served apart." validate:"remote_or_empty" expect:"an IP address with a port, or \"\""`
	Peer    netip.AddrPort `toml:"peer" comment:"Other nodes, over TCP and UDP on the same port." validate:"required" expect:"an IP address with a port, such as \"127.0.0.1:7301\""`
}

// Peers configures how the node discovers other nodes.
type Peers struct {
	Seeds []netip.AddrPort `toml:"seeds" comment:"Peer addresses of some other nodes, to find the rest." validate:"dive,remote" expect:"a list of IP addresses with ports, such as [\"127.0.0.1:7301\"]"`
}

// Store configures the calls to the configuration store.
type Store struct {
	Endpoints []netip.AddrPort `toml:"endpoints" comment:"Addresses of the configuration store (etcd v3 HTTP/JSON gateway)." validate:"required,min=1,dive,remote" expect:"a list of one or more IP addresses with ports, such as [\"127.0.0.1:7001\"]"`
	Timeout   Duration         `toml:"timeout" comment:"Longest time of one call." validate:"gt=0" expect:"a duration above 0, such as \"2s\""`
	Rate      float64          `toml:"rate" comment:"Calls a second of this node at most, and how many at once. 0: no limit." validate:"gte=0" expect:"a number, 0 or above"`
	Burst     int              `toml:"burst" validate:"gte=1" expect:"a whole number, 1 or above"`
}

// Machines configures how the node polls the platform's machine list.
type Machines struct {
	Address  netip.AddrPort `toml:"address" comment:"Address of the machine list. Empty: none is read." validate:"remote_or_empty" expect:"an IP address with a port, such as \"127.0.0.1:7002\", or \"\""`
	Interval Duration       `toml:"interval" comment:"Time between two readings, and longest time of one." validate:"gt=0" expect:"a duration above 0, such as \"1s\""`
	Timeout  Duration       `toml:"timeout" validate:"gt=0" expect:"a duration above 0, such as \"1s\""`
}

// Leaf configures the connections to leaves.
type Leaf struct {
	ConnectionsPerLeaf int      `toml:"connections_per_leaf" comment:"Connections that this node keeps to each leaf." validate:"gte=1,lte=64" expect:"a whole number from 1 to 64"`
	LoadInterval       Duration `toml:"load_interval" comment:"Time between two load reports asked of a leaf." validate:"gt=0" expect:"a duration above 0, such as \"250ms\""`
	DialTimeout        Duration `toml:"dial_timeout" comment:"Longest time to open a connection." validate:"gt=0" expect:"a duration above 0, such as \"500ms\""`
}

// Limits holds the limits on requests from callers and on shutdown.
type Limits struct {
	BodyBytes    int64    `toml:"body_bytes" comment:"Largest body of a request." validate:"gte=1024" expect:"a whole number of bytes, 1024 or above"`
	Concurrency  int      `toml:"concurrency" comment:"Queries of callers that are in this node at once at most, waiting or running; more are refused." validate:"gte=1" expect:"a whole number, 1 or above"`
	DrainTimeout Duration `toml:"drain_timeout" comment:"Longest wait for requests in flight at a planned stop." validate:"gt=0" expect:"a duration above 0, such as \"30s\""`
}

// AtMostOnce configures the handling of requests that may run at most once.
type AtMostOnce struct {
	Window   Duration `toml:"window" comment:"How long the outcome of such a request is remembered." validate:"gt=0" expect:"a duration above 0, such as \"5m\""`
	Skew     Duration `toml:"skew" comment:"How far a caller's clock may be from this machine's." validate:"gt=0" expect:"a duration above 0, such as \"5s\""`
	Capacity int      `toml:"capacity" comment:"How many such requests are remembered at most; more are refused." validate:"gte=1" expect:"a whole number, 1 or above"`
}

// Freshness configures how recently a majority of voters must have confirmed a node's revision.
type Freshness struct {
	Window           Duration `toml:"window" comment:"A node serves only if a majority of voters confirmed its revision within this time." validate:"gt=0" expect:"a duration above 0, such as \"5s\""`
	ExchangeInterval Duration `toml:"exchange_interval" comment:"Time between two exchanges of revisions." validate:"gt=0" expect:"a duration above 0, such as \"500ms\""`
}

// Membership configures the failure detection between nodes.
type Membership struct {
	ProbeInterval          Duration `toml:"probe_interval" comment:"Period in which each node probes one other." validate:"gt=0" expect:"a duration above 0, such as \"1s\""`
	ProbeTimeout           Duration `toml:"probe_timeout" comment:"Longest time of a direct probe; above the largest round trip." validate:"gt=0" expect:"a duration above 0, such as \"200ms\""`
	IndirectProbes         int      `toml:"indirect_probes" comment:"Relays that are asked after a failed probe." validate:"gte=0" expect:"a whole number, 0 or above"`
	SuspicionMultiplier    float64  `toml:"suspicion_multiplier" comment:"Times log10 of the members times probe_interval: shortest time from suspicion to gone." validate:"gt=0" expect:"a number above 0"`
	SuspicionMaximumFactor float64  `toml:"suspicion_maximum_factor" comment:"Times the shortest time: time to gone if nobody confirms the suspicion." validate:"gte=1" expect:"a number, 1 or above"`
	GossipInterval         Duration `toml:"gossip_interval" comment:"How often, and to how many members, updates are sent on packets of their own." validate:"gt=0" expect:"a duration above 0, such as \"500ms\""`
	GossipFanout           int      `toml:"gossip_fanout" validate:"gte=0" expect:"a whole number, 0 or above"`
}

// Log configures the log output.
type Log struct {
	Format string `toml:"format" comment:"text or json." validate:"oneof=text json" expect:"\"text\" or \"json\""`
	Level  string `toml:"level" comment:"debug, info, warn or error." validate:"oneof=debug info warn error" expect:"\"debug\", \"info\", \"warn\" or \"error\""`
}

// AdvertisedAddress returns the IP address at which other nodes reach this node. It defaults to the
// address of Listen.Peer.
func (s Settings) AdvertisedAddress() netip.Addr {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Listen.Peer.Addr()
}
