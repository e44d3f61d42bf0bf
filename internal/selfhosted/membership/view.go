package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// peer is a member other than this node, with its local state.
type peer struct {
	Member
	// fingerprint is the value that this member contributes to its bucket of the digest.
	fingerprint uint32
	bucket      int
	suspicion   *suspicion
	goneAt      time.Duration
	// liveIndex and zoneIndex are the indexes in view.live and zone.live. They are undefined while
	// the member is gone.
	liveIndex int
	zoneIndex int
}

func (p *peer) gone() bool { return p.State == StateGone }

// zone holds the members of one zone other than this node, and the state of its hold.
type zone struct {
	name     string
	live     []*peer
	suspects int
	// held is set during a hold, which started at heldSince. holdExpired is set once a hold has
	// lasted Config.ZoneHold, until a packet from the zone arrives; it prevents another hold.
	held        bool
	holdExpired bool
	heldSince   time.Duration
	// lastPacketAt is when this node last received a packet from the zone.
	lastPacketAt time.Duration
}

// view indexes the members other than this node. It never iterates over a map, so that runs with
// the same seed are identical.
type view struct {
	byName map[string]*peer
	live   []*peer
	// ordered holds the same peers as live in order of their names. version counts the changes of
	// the view.
	ordered []*peer
	version uint64
	zones   []*zone
	// regions holds the interned names of regions.
	regions []string
	// gone holds the members that are gone, in order of goneAt.
	gone []*peer
	// suspects holds the members that are suspected.
	suspects []*peer
	digest   digest
}

func newView() view { return view{byName: make(map[string]*peer)} }

// ensureZone returns the zone with a name and creates it if necessary. The linear insertion is
// cheap because zones are few.
func (v *view) ensureZone(name string) *zone {
	index, found := slices.BinarySearchFunc(v.zones, name, func(z *zone, name string) int {
		return strings.Compare(z.name, name)
	})
	if !found {
		v.zones = slices.Insert(v.zones, index, &zone{name: name})
	}
	return v.zones[index]
}

// internRegion returns the stored string equal to name, so that members share it. The linear search
// is cheap because regions are few.
func (v *view) internRegion(name string) string {
	index := slices.Index(v.regions, name)
	if index < 0 {
		v.regions = append(v.regions, name)
		return name
	}
	return v.regions[index]
}

// put stores a record, replaces an earlier one of the same member, and updates the indexes.
func (v *view) put(now time.Duration, record Member) *peer {
	v.version++
	p := v.byName[record.Name]
	if p == nil {
		p = &peer{bucket: nameBucket(record.Name, maximumBuckets)}
		v.byName[record.Name] = p
	} else {
		v.removeFromIndexes(p)
	}
	// Members of a zone or region share one string for its name.
	record.Zone = v.ensureZone(record.Zone).name
	record.Region = v.internRegion(record.Region)
	p.Member = record
	v.addToIndexes(now, p)
	return p
}

func (v *view) addToIndexes(now time.Duration, p *peer) {
	if p.gone() {
		p.goneAt = now
		v.gone = append(v.gone, p)
		return
	}
	p.fingerprint = p.Member.fingerprint()
	v.digest[p.bucket] ^= p.fingerprint
	p.liveIndex = len(v.live)
	v.live = append(v.live, p)
	v.ordered = slices.Insert(v.ordered, v.orderedIndex(p.Name), p)
	z := v.ensureZone(p.Zone)
	p.zoneIndex = len(z.live)
	z.live = append(z.live, p)
	if p.State == StateSuspect {
		z.suspects++
		v.suspects = append(v.suspects, p)
	}
}

func (v *view) removeFromIndexes(p *peer) {
	if p.gone() {
		v.gone = slices.DeleteFunc(v.gone, func(other *peer) bool { return other == p })
		return
	}
	v.digest[p.bucket] ^= p.fingerprint
	last := v.live[len(v.live)-1]
	v.live[p.liveIndex], last.liveIndex = last, p.liveIndex
	v.live = v.live[:len(v.live)-1]
	index := v.orderedIndex(p.Name)
	v.ordered = slices.Delete(v.ordered, index, index+1)
	z := v.ensureZone(p.Zone)
	lastOfZone := z.live[len(z.live)-1]
	z.live[p.zoneIndex], lastOfZone.zoneIndex = lastOfZone, p.zoneIndex
	z.live = z.live[:len(z.live)-1]
	if p.State == StateSuspect {
		z.suspects--
		v.suspects = slices.DeleteFunc(v.suspects, func(other *peer) bool { return other == p })
	}
}

// orderedIndex returns the index of a name in ordered.
func (v *view) orderedIndex(name string) int {
	index, _ := slices.BinarySearchFunc(v.ordered, name, func(p *peer, name string) int {
		return strings.Compare(p.Name, name)
	})
	return index
}

// forget removes a member that is gone.
func (v *view) forget(p *peer) {
	v.removeFromIndexes(p)
	delete(v.byName, p.Name)
}

// pickRandom returns a random element of peers that is acceptable, or nil if eight attempts found
// none.
func pickRandom(random *rand.Rand, peers []*peer, acceptable func(*peer) bool) *peer {
	if len(peers) == 0 {
		return nil
	}
	const attempts = 8
	for range attempts {
		p := peers[random.IntN(len(peers))]
		if acceptable(p) {
			return p
		}
	}
	return nil
}
