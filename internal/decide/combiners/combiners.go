// Package combiners decides through which node attempts at leaves of another zone go, and
// which of these nodes are asked whether they live. It is pure: time comes in as an
// argument, a duration on the node's clock.
//
// The rule: of each other zone a node keeps in touch with the few that it prefers, the
// combiners. A query goes by the one of the zone with the fewest attempts of this node in
// flight, of those that answer heartbeats and answer them fast. If there is none, its
// attempts go to the leaves directly. A silent combiner is taken to be lost.
//
// Inputs: the nodes with their zones and addresses, the times of heartbeats and of their
// answers, and the attempts of this node that each combiner has in flight.
//
// Reason: a combiner thins out the parts of an answer before they cross to another zone. A
// lost or a slow one makes them late, so a node turns to the next, or to the leaves, as
// soon as it sees that.
//
// Measurements behind the constants: none of their own; Config and roundTripWeight say why
// they were chosen.
//
// The package owns what one node knows of combiners (Table). Package combine asks them and
// sends attempts by them. It relies on roster (which nodes are preferred) and liveness
// (whether one answers). Which nodes may be combiners is a role: executors.Roles.
package combiners

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// roundTripWeight is the weight of one heartbeat in the mean round trip. Not measured:
// chosen because five of them, half a second, then make two thirds of it.
const roundTripWeight = 0.2

// Config is the policy of a Table. All fields must be set.
type Config struct {
	// CombinersPerZone is how many nodes of each other zone are asked whether they live.
	CombinersPerZone int
	// HeartbeatInterval is how long a combiner may be silent before it is asked
	// whether it lives.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is after how long a silence it is taken to be lost, with the
	// attempts that it has in flight.
	HeartbeatTimeout time.Duration
	// MaxRoundTrip is the mean time of a heartbeat and its answer above which a
	// combiner is too slow to be used.
	MaxRoundTrip time.Duration
}

// DefaultConfig returns the defaults. Not measured by themselves: chosen because one of
// two combiners may be lost, up to two heartbeats in a row may be lost on the way, and a
// slower combiner would make parts late.
func DefaultConfig() Config {
	return Config{
		CombinersPerZone:  2,
		HeartbeatInterval: 100 * time.Millisecond,
		HeartbeatTimeout:  350 * time.Millisecond,
		MaxRoundTrip:      15 * time.Millisecond,
	}
}

// Combiner is what a node knows of one combiner. Its member never changes.
type Combiner struct {
	roster.Member
	liveness.State
	// InFlight is how many attempts of this node it has in hand.
	InFlight int
	// asked is set while a heartbeat to it is open.
	heartbeatPending bool
}

func newCombiner(member roster.Member) *Combiner {
	return &Combiner{Member: member, State: liveness.State{RoundTripWeight: roundTripWeight}}
}

// Answered takes in the answer to a heartbeat, and reports whether it brings a lost
// combiner back. What was known of its speed before the loss is forgotten.
func (c *Combiner) Answered(now, roundTrip time.Duration) (regained bool) {
	if c.Alive() == nil {
		c.RoundTrip = 0
	}
	return c.State.Answered(now, roundTrip)
}

// EndHeartbeat ends the heartbeat that Due began, answered or not.
func (c *Combiner) EndHeartbeat() { c.heartbeatPending = false }

// usable reports whether attempts may be handed to it.
func (c *Combiner) isUsable(maxRoundTrip time.Duration) bool {
	return c.Alive() != nil && c.RoundTrip <= maxRoundTrip
}

// Table holds the combiners by zone. It is not safe for concurrent use.
type Table struct {
	config Config
	zones  map[string][]*Combiner
}

// NewTable returns a Table that knows no combiner.
func NewTable(config Config) *Table { return &Table{config: config} }

// Replace replaces the combiners by those that a node prefers of each other zone. What is
// known of those that stay is retained, and what the others have in flight is left to
// finish.
func (t *Table) Replace(self roster.Member, members []roster.Member) {
	previous := make(map[string]*Combiner)
	for _, combiner := range t.all() {
		previous[combiner.Name] = combiner
	}
	t.zones = make(map[string][]*Combiner)
	for _, member := range roster.Preferred(self, members) {
		if member.Zone == self.Zone || member.Name == self.Name || !member.Peer.IsValid() || len(t.zones[member.Zone]) >= t.config.CombinersPerZone {
			continue
		}
		combiner := previous[member.Name]
		if combiner == nil || combiner.Member != member {
			combiner = newCombiner(member)
		}
		delete(previous, member.Name)
		t.zones[member.Zone] = append(t.zones[member.Zone], combiner)
	}
	for _, dropped := range previous {
		dropped.Avoid()
	}
}

func (t *Table) all() []*Combiner {
	var all []*Combiner
	for _, combiners := range t.zones {
		all = append(all, combiners...)
	}
	return all
}

// Choose returns the combiner of a zone for a query: the one with the fewest attempts in
// flight; nil if none is usable.
func (t *Table) Choose(zone string) *Combiner {
	var best *Combiner
	for _, candidate := range t.zones[zone] {
		if candidate.isUsable(t.config.MaxRoundTrip) && (best == nil || candidate.InFlight < best.InFlight) {
			best = candidate
		}
	}
	return best
}

// Due returns the combiners that are to be sent a heartbeat, which EndHeartbeat ends, and
// those that are lost now.
func (t *Table) Due(now time.Duration) (due, lost []*Combiner) {
	for _, combiner := range t.all() {
		if combiner.IsSilent(now, t.config.HeartbeatTimeout) && combiner.Lose() {
			lost = append(lost, combiner)
		}
		if !combiner.heartbeatPending && (now-combiner.LastHeard >= t.config.HeartbeatInterval || combiner.Alive() == nil) {
			combiner.heartbeatPending = true
			due = append(due, combiner)
		}
	}
	return due, lost
}
