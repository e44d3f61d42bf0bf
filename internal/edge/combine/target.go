package combine

import (
	"time"

	"github.com/micaplank/micaplank/internal/decide/liveness"
	"github.com/micaplank/micaplank/internal/roster"
)

// roundTripWeight is the weight of one heartbeat in the mean round trip. Not measured:
// chosen because five of them, half a second, then make two thirds of it.
const roundTripWeight = 0.2

// target is what a node knows of one combiner. Its member never changes.
type target struct {
	roster.Member
	liveness.State
	inFlight int
	// asking is set while a question to it is open.
	asking bool
}

func newTarget(member roster.Member) *target {
	return &target{Member: member, State: liveness.State{Weight: roundTripWeight}}
}

// answered takes in the answer to a question, and reports whether it brings a
// lost combiner back. What was known of its speed before the loss is forgotten.
func (t *target) answered(now, roundTrip time.Duration) (regained bool) {
	if t.Alive() == nil {
		t.RoundTrip = 0
	}
	return t.Answered(now, roundTrip)
}

// usable reports whether attempts may be handed to it.
func (t *target) usable(most time.Duration) bool {
	return t.Alive() != nil && t.RoundTrip <= most
}

// directory holds the combiners by zone. It is pure: time comes in as an argument.
// It is not safe for concurrent use.
type directory struct {
	config Config
	zones  map[string][]*target
}

// set replaces the combiners by those that a node prefers of each other zone;
// what is known of those that stay is kept, and what the others have in flight is left to
// finish.
func (d *directory) set(self roster.Member, members []roster.Member) {
	known := make(map[string]*target)
	for _, one := range d.all() {
		known[one.Name] = one
	}
	d.zones = make(map[string][]*target)
	for _, member := range roster.Preferred(self, members) {
		if member.Zone == self.Zone || member.Name == self.Name || !member.Peer.IsValid() || len(d.zones[member.Zone]) >= d.config.CombinersPerZone {
			continue
		}
		kept := known[member.Name]
		if kept == nil || kept.Member != member {
			kept = newTarget(member)
		}
		delete(known, member.Name)
		d.zones[member.Zone] = append(d.zones[member.Zone], kept)
	}
	for _, gone := range known {
		gone.Avoid()
	}
}

func (d *directory) all() []*target {
	var all []*target
	for _, targets := range d.zones {
		all = append(all, targets...)
	}
	return all
}

// pick returns the combiner of a zone for a query: the one with the fewest attempts in
// flight; nil if none is usable.
func (d *directory) pick(zone string) *target {
	var best *target
	for _, one := range d.zones[zone] {
		if one.usable(d.config.MaxRoundTrip) && (best == nil || one.inFlight < best.inFlight) {
			best = one
		}
	}
	return best
}

// due returns the combiners to be asked, and those that are lost now.
func (d *directory) due(now time.Duration) (asked, lost []*target) {
	for _, one := range d.all() {
		if one.Silent(now, d.config.HeartbeatTimeout) && one.Lose() {
			lost = append(lost, one)
		}
		if !one.asking && (now-one.HeardAt >= d.config.HeartbeatInterval || one.Alive() == nil) {
			one.asking = true
			asked = append(asked, one)
		}
	}
	return asked, lost
}
