package hollow

// Result is what a run has measured. Times are in seconds, of the fleet's own
// clock.
type Result struct {
	Config Config `json:"config"`
	// FormedSeconds is the time until all nodes had met and were fresh.
	FormedSeconds float64 `json:"formed_seconds"`
	// FormStoreCalls is what all nodes asked of the store until then, and
	// FormCheckpoints how many of these calls loaded a checkpoint.
	FormStoreCalls  int `json:"form_store_calls"`
	FormCheckpoints int `json:"form_checkpoints"`
	// HeapBytesPerNode is the live heap and stacks, divided by the nodes.
	HeapBytesPerNode float64 `json:"heap_bytes_per_node"`
	Phases           []Phase `json:"phases"`
}

// Phase is the measurement of one scenario.
type Phase struct {
	Scenario Scenario `json:"scenario"`
	Seconds  float64  `json:"seconds"`
	// ProcessorShare is the processor time of this process, divided by the
	// nodes and by Seconds: the share of a core that a node takes.
	ProcessorShare float64 `json:"processor_share"`
	// Loads is the traffic by role; nodes that have several count as the
	// first of voter, watcher, member.
	Loads []Load `json:"loads"`
	// StoreCallsPerSecond is what all nodes together ask of the store.
	StoreCallsPerSecond float64 `json:"store_calls_per_second"`
	Changes             Changes `json:"changes"`
	Members             Members `json:"members"`
}

// Role names what a node does besides taking queries.
type Role string

// The roles.
const (
	RoleVoter   Role = "voter"
	RoleWatcher Role = "watcher"
	RoleMember  Role = "member"
)

// Load is the traffic of the nodes of a role, in bytes and packets a second.
// Wire bytes contain 28 bytes a packet of UDP and IP headers, in both
// directions.
type Load struct {
	Role          Role    `json:"role"`
	Nodes         int     `json:"nodes"`
	SentBytes     float64 `json:"sent_bytes"`
	ReceivedBytes float64 `json:"received_bytes"`
	SentPackets   float64 `json:"sent_packets"`
	WireBytes     float64 `json:"wire_bytes"`
	// WireBytesMaximum is that of the node with the most.
	WireBytesMaximum float64 `json:"wire_bytes_maximum"`
	// SecondBytesMaximum is the most wire bytes of a node in about a second.
	SecondBytesMaximum float64 `json:"second_bytes_maximum"`
	// MembershipBytes is the part of the sent bytes that is membership.
	MembershipBytes float64 `json:"membership_bytes"`
	// BusyShare is the share of a core spent in the node's code, and
	// BusyShareMaximum that of the node with the most; virtual fleets alone.
	BusyShare        float64 `json:"busy_share,omitempty"`
	BusyShareMaximum float64 `json:"busy_share_maximum,omitempty"`
}

// Changes says how long the changes of a phase took.
type Changes struct {
	Proposed int `json:"proposed"`
	// InForce are the times from the proposal until every node that serves
	// held the change.
	InForce Distribution `json:"in_force_seconds"`
	// Answered are the times until the proposer knew the fate.
	Answered Distribution `json:"answered_seconds"`
	// Fates counts the proposals by fate.
	Fates map[string]int `json:"fates,omitempty"`
	// Unsettled are changes not yet in force at the end of the phase.
	Unsettled int `json:"unsettled"`
	// NotServing is how many nodes did not serve at the end of the phase.
	NotServing int `json:"not_serving"`
}

// Distribution is a summary of times in seconds.
type Distribution struct {
	Count  int     `json:"count"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// Members says what the membership did in a phase.
type Members struct {
	Suspicions uint64 `json:"suspicions"`
	Gone       uint64 `json:"gone"`
	// Restarted is how many nodes were restarted.
	Restarted int `json:"restarted"`
	// AgreedSeconds is the time after the end of the faults until all views
	// agreed, or -1 if they did not.
	AgreedSeconds float64 `json:"agreed_seconds"`
}
