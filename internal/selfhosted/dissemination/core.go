package dissemination

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Core is the state machine of one node. It is not safe for concurrent use. Each method with a time
// parameter must receive a clock reading taken after the event that it processes.
type Core struct {
	config   Config
	self     Member
	random   *rand.Rand
	disabled disabledMechanisms

	startedAt Time
	started   bool

	log     changeLog
	members memberIndex
	// voters lists the names of the catalog's voters in sorted order.
	voters []string

	// claims holds the highest known incarnation of each voter.
	claims map[string]uint64
	// claimsHash is the hash of the known voter incarnations; 0 if it must be recomputed.
	claimsHash  uint64
	voterStates map[string]*voterState
	takeover    takeover

	sequence uint64
	requests map[uint64]pendingRequest

	confirmed   bool
	confirmedAt Time
	relayed     []relayedConfirmation

	peerRevisions map[string]PeerRevision

	nextExchange   Time
	exchangeRounds uint64
	fetch          fetchState
	store          storeState

	proposals      []*proposal
	lastProposalID ProposalID

	ready Ready
}

// Ready lists the actions that the driver must carry out, in order, after each call.
type Ready struct {
	// Packets are sent as datagrams.
	Packets []Outgoing
	// Fetch, if set, is a call to a peer.
	Fetch *Fetch
	// StoreOperations are calls to the store. The driver reports the outcome of each with
	// StepStore.
	StoreOperations []StoreOperation
	// Watch reports whether the node should keep a watch on the store's changes open.
	Watch bool
	// Catalog is set when a new revision was installed.
	Catalog *catalog.Catalog
	// Results are the outcomes of the proposals that have ended.
	Results []ProposalResult
}

// New returns a Core at revision zero that is not fresh.
func New(options Options) *Core {
	c := &Core{
		config:        options.Config,
		self:          options.Self,
		random:        options.Random,
		log:           newChangeLog(options.Config.TailLength, options.Config.CheckpointInterval),
		claims:        map[string]uint64{},
		voterStates:   map[string]*voterState{},
		sequence:      options.Random.Uint64(),
		requests:      map[uint64]pendingRequest{},
		peerRevisions: map[string]PeerRevision{},
		store:         storeState{operations: map[uint64]pendingOperation{}},
	}
	c.takeover.registered = map[string]bool{}
	c.members.rebuild(c.self, nil, c.config.WatchersPerZone)
	return c
}

// SetMembers replaces the list of members. The core retains the slice and ignores an entry for this
// node itself.
func (c *Core) SetMembers(members []Member) {
	if c.members.all != nil && slices.Equal(c.members.all, members) {
		return
	}
	c.members.rebuild(c.self, members, c.config.WatchersPerZone)
	for name := range c.peerRevisions {
		if _, ok := c.members.byName[name]; !ok {
			delete(c.peerRevisions, name)
		}
	}
}

// Tick processes the passage of time. It is cheap when nothing is due and should be called every 50
// to 100 ms.
func (c *Core) Tick(now Time) {
	if !c.started {
		c.started, c.startedAt = true, now
		c.nextExchange = now
		c.store.nextRead = now
	}
	c.expireRequests(now)
	if now >= c.nextExchange {
		c.exchange(now)
	}
	c.tickFetch(now)
	c.tickStore(now)
	c.reconfirm(now)
	c.advanceProposals(now)
}

// Step processes a packet received from an address.
func (c *Core) Step(now Time, from netip.AddrPort, packet Packet) {
	switch {
	case packet.Request != nil:
		c.answerRequest(now, from, packet.Request)
	case packet.Response != nil:
		c.handleResponse(now, from, packet.Response)
	case packet.Push != nil:
		c.handlePush(now, from, packet.Push)
	}
	c.advanceProposals(now)
}

// Ready returns the actions that accumulated since the last call and clears them.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	ready.Watch = c.isWatcher()
	return ready
}

// Catalog returns the node's catalog. Callers must not modify it.
func (c *Core) Catalog() *catalog.Catalog { return c.log.catalog }

// Revision returns the revision of the node's catalog.
func (c *Core) Revision() uint64 { return c.log.revision() }

// Broken returns the reason why this process cannot apply the next change of the log, or nil.
func (c *Core) Broken() error { return c.log.broken }

// ConfirmedAt returns the latest time before which every accepted revision is provably held, and
// whether a confirmation exists.
func (c *Core) ConfirmedAt() (Time, bool) {
	return c.confirmedAt, c.confirmed && !c.takeover.superseded
}

// FreshFor returns how long the node may continue to serve from now without another confirmation.
// The node must not serve if the result is zero or negative.
func (c *Core) FreshFor(now Time) Time {
	at, ok := c.ConfirmedAt()
	if !ok {
		return 0
	}
	return at + c.config.Window - now
}

// Fresh reports whether the node may act now. Callers must take a new clock reading immediately
// before the action, because the process may have been suspended since an earlier reading.
func (c *Core) Fresh(now Time) bool { return c.FreshFor(now) > 0 }

// Superseded reports that a newer process has taken over this node's voter slot. A superseded
// process never serves again.
func (c *Core) Superseded() bool { return c.takeover.superseded }

// Recovered reports whether this node is a voter whose responses count.
func (c *Core) Recovered() bool { return c.canVote() }

// PeerRevision is the last known revision of a peer.
type PeerRevision struct {
	Name        string
	Incarnation uint64
	Revision    uint64
	// At is the time at which the revision was received. The packet may have been delayed for a
	// long time; MajorityHeldAt provides proof.
	At Time
}

// PeerRevisions returns the known revisions of the members, ordered by name. The result omits
// members with which this node has not exchanged.
func (c *Core) PeerRevisions() []PeerRevision {
	revisions := make([]PeerRevision, 0, len(c.peerRevisions))
	for _, member := range c.members.alive {
		if revision, ok := c.peerRevisions[member.Name]; ok {
			revisions = append(revisions, revision)
		}
	}
	return revisions
}

func (c *Core) send(to netip.AddrPort, packet Packet) {
	c.ready.Packets = append(c.ready.Packets, Outgoing{To: to, Packet: packet})
}

// isWatcher reports whether this node is one of the nodes of its zone that watch the store.
func (c *Core) isWatcher() bool { return c.members.position < c.config.WatchersPerZone }

// handleInstalled updates the state that depends on the log after the log has grown.
func (c *Core) handleInstalled(now Time) {
	c.ready.Catalog = c.log.catalog
	c.voters = c.log.catalog.VoterNames()
	c.claimsHash = 0
	c.resetVoterStates()
	c.applyRelayed()
	c.reconfirm(now)
}
