package combine

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/roster"
)

// roundTripWeight is the weight of one question in the mean time of them.
const roundTripWeight = 0.2

// target is what a node knows of one combiner. Its member never changes.
type target struct {
	roster.Member
	inFlight int
	// heardAt is when it last answered anything.
	heardAt time.Duration
	// asking is set while a question to it is open.
	asking bool
	// roundTrip is the mean time of a question and its answer.
	roundTrip time.Duration
	// alive ends when the combiner is taken to be lost, and is made anew when it
	// is heard again; nil while it is lost.
	alive    context.Context
	endAlive context.CancelFunc
}

// heard takes in any answer. Only that to a question brings a lost combiner
// back.
func (t *target) heard(now time.Duration) {
	t.heardAt = max(t.heardAt, now)
}

// answered takes in the answer to a question.
func (t *target) answered(now, roundTrip time.Duration) {
	t.heard(now)
	if t.roundTrip == 0 || t.alive == nil {
		t.roundTrip = roundTrip
	}
	t.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-t.roundTrip))
	if t.alive == nil {
		t.alive, t.endAlive = context.WithCancel(context.Background())
	}
}

// lose takes the combiner to be lost, with what it has in hand; it reports
// whether that is news.
func (t *target) lose() bool {
	if t.alive == nil {
		return false
	}
	t.endAlive()
	t.alive = nil
	return true
}

// avoid takes no more attempts to the combiner until it answers a question. Those
// that it has in hand go on. It reports whether that is news.
func (t *target) avoid() bool {
	known := t.alive != nil
	t.alive = nil
	return known
}

// usable reports whether attempts may be handed to it.
func (t *target) usable(most time.Duration) bool {
	return t.alive != nil && t.roundTrip <= most
}

// board holds the combiners by zone. It is pure: time comes in as an argument.
// It is not safe for concurrent use.
type board struct {
	config Config
	zones  map[string][]*target
}

// set replaces the combiners by those that a node prefers of each other zone;
// what is known of those that stay is kept, and what the others have in hand is
// left to finish.
func (b *board) set(self roster.Member, members []roster.Member) {
	known := make(map[string]*target)
	for _, one := range b.all() {
		known[one.Name] = one
	}
	b.zones = make(map[string][]*target)
	for _, member := range roster.Preferred(self, members) {
		if member.Zone == self.Zone || member.Name == self.Name || !member.Peer.IsValid() || len(b.zones[member.Zone]) >= b.config.CombinersPerZone {
			continue
		}
		kept := known[member.Name]
		if kept == nil || kept.Member != member {
			kept = &target{Member: member}
		}
		delete(known, member.Name)
		b.zones[member.Zone] = append(b.zones[member.Zone], kept)
	}
	for _, gone := range known {
		gone.avoid()
	}
}

func (b *board) all() []*target {
	var all []*target
	for _, targets := range b.zones {
		all = append(all, targets...)
	}
	return all
}

// pick returns the combiner of a zone for a query: the one with the least in
// hand; nil if none is usable.
func (b *board) pick(zone string) *target {
	var best *target
	for _, one := range b.zones[zone] {
		if one.usable(b.config.MaxRoundTrip) && (best == nil || one.inFlight < best.inFlight) {
			best = one
		}
	}
	return best
}

// due returns the combiners to be asked, and those that are lost now.
func (b *board) due(now time.Duration) (asked, lost []*target) {
	for _, one := range b.all() {
		silent := now - one.heardAt
		if silent > b.config.HeartbeatTimeout && one.lose() {
			lost = append(lost, one)
		}
		if !one.asking && (silent >= b.config.HeartbeatInterval || one.alive == nil) {
			one.asking = true
			asked = append(asked, one)
		}
	}
	return asked, lost
}
