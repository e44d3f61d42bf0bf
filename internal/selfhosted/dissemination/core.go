package dissemination

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/micaplank/micaplank/internal/catalog"
)

// Core is the state machine of one node. It is not safe for concurrent use.
// Every method that takes the time must get a reading made after the event
// that it reports.
type Core struct {
	config   Config
	self     Member
	random   *rand.Rand
	disabled disabledMechanisms

	startedAt Time
	started   bool

	log     changeLog
	members memberIndex
	// voters are the names of the catalog's voters, in order.
	voters []string

	// claims holds the highest incarnation known of each voter's slot.
	claims map[string]uint64
	// knownHash is the hash of what is known of the slots; 0 if out of date.
	claimsHash  uint64
	voterStates map[string]*voterState
	successor   takeover

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

	proposals    []*proposal
	lastProposal ProposalID

	ready Ready
}

// Ready is what the driver has to do, in order, after each call.
type Ready struct {
	// Packets are to be sent as datagrams.
	Packets []Outgoing
	// Fetch, if set, is a call to a peer.
	Fetch *Fetch
	// Store are calls to the store; each ends with a StepStore.
	StoreOperations []StoreOperation
	// Watch says whether the node should keep a watch on the store's changes.
	Watch bool
	// Catalog is set when a new revision was installed.
	Catalog *catalog.Catalog
	// Results are the proposals that have ended.
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
	c.successor.registered = map[string]bool{}
	c.members.rebuild(c.self, nil, c.config.WatchersPerZone)
	return c
}

// SetMembers replaces the list of members; the core keeps the slice. The entry
// of this node itself, if there is one, is ignored.
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

// Tick lets time pass. It is cheap when nothing is due; call it every 50 to
// 100 ms.
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

// Step processes a packet that was received from an address.
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

// Ready returns what is to be done since the last call and forgets it.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	ready.Watch = c.isWatcher()
	return ready
}

// Catalog returns the catalog that this node holds. It must not be modified.
func (c *Core) Catalog() *catalog.Catalog { return c.log.catalog }

// Revision returns the revision that this node holds.
func (c *Core) Revision() uint64 { return c.log.revision() }

// Broken returns why the next change of the log cannot be applied here, or nil.
func (c *Core) Broken() error { return c.log.broken }

// ConfirmedAt returns the time before which everything accepted is held, and
// whether there is one.
func (c *Core) ConfirmedAt() (Time, bool) {
	return c.confirmedAt, c.confirmed && !c.successor.superseded
}

// FreshFor returns how long the node may serve on from now; zero or less if it
// may not.
func (c *Core) FreshFor(now Time) Time {
	at, ok := c.ConfirmedAt()
	if !ok {
		return 0
	}
	return at + c.config.Window - now
}

// Fresh says whether the node may act now. It must be asked directly before
// the act, with a reading of the clock made for it: the process may have been
// frozen since the last one.
func (c *Core) Fresh(now Time) bool { return c.FreshFor(now) > 0 }

// Superseded says that a newer process has taken this node's voter slot over;
// this one never serves again.
func (c *Core) Superseded() bool { return c.successor.superseded }

// Recovered says whether this node is a voter whose answers may be counted.
func (c *Core) Recovered() bool { return c.canVote() }

// PeerRevision is what a peer was last known to hold.
type PeerRevision struct {
	Name        string
	Incarnation uint64
	Revision    uint64
	// At is when that was learned. What was learned then may have been on the
	// way for long; HeldAt says what is proved.
	At Time
}

// PeerRevisions returns what is known of the members' revisions, ordered by
// name. Members that this node does not exchange with are missing.
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

// watcher says whether this node is one of those that watch the store.
func (c *Core) isWatcher() bool { return c.members.position < c.config.WatchersPerZone }

// install is called after the log has grown: it settles what waited for it.
func (c *Core) handleInstalled(now Time) {
	c.ready.Catalog = c.log.catalog
	c.voters = c.log.catalog.VoterNames()
	c.claimsHash = 0
	c.resetVoterStates()
	c.applyRelayed()
	c.reconfirm(now)
}
