package dissemination

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
)

// TestChangeLogInstallsOnlyHigherRevisions installs changes and checkpoints in random order. The
// revision must never decrease, and the catalog must equal the reference catalog at its revision.
func TestChangeLogInstallsOnlyHigherRevisions(t *testing.T) {
	t.Parallel()
	reference := []*catalog.Catalog{catalog.Empty()}
	var changes []catalog.Change
	for index := range 40 {
		change := catalog.Change{Revision: uint64(index + 1), ID: fmt.Sprint(index + 1), Command: serviceProposal(fmt.Sprintf("s%d", index)).Command}
		next, err := catalog.Apply(reference[index], change)
		if err != nil {
			t.Fatal(err)
		}
		changes, reference = append(changes, change), append(reference, next)
	}
	rapid.Check(t, func(t *rapid.T) {
		log := newChangeLog(rapid.IntRange(1, 10).Draw(t, "length"), 8)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := log.revision()
			from := rapid.IntRange(0, 39).Draw(t, "from")
			to := rapid.IntRange(from, 40).Draw(t, "to")
			if rapid.Bool().Draw(t, "checkpoint") {
				log.installCheckpoint(reference[to])
			} else {
				log.append(changes[from:to])
			}
			if log.revision() < before || log.catalog.Digest() != reference[log.revision()].Digest() {
				t.Fatalf("got revision %d after revision %d, want no decrease and the reference catalog", log.revision(), before)
			}
			requested := uint64(rapid.IntRange(0, 40).Draw(t, "asked"))
			if tail, ok := log.changesAfter(requested); ok && len(tail) > 0 && tail[0].Revision != requested+1 {
				t.Fatalf("changes after revision %d: got first revision %d, want the next one", requested, tail[0].Revision)
			}
		}
	})
}

// TestRelayTreeParents checks that the parents of each member of a zone are nearer to the roots
// than the member, and that no member has more than twice the fanout of children.
func TestRelayTreeParents(t *testing.T) {
	t.Parallel()
	const roots, fanout = 2, 8
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 120).Draw(t, "members")
		var members []Member
		for index := range count {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+index))
			members = append(members, Member{Name: fmt.Sprint("m", index), Zone: "z", Address: address, Alive: true})
		}
		children := map[string]int{}
		for _, self := range members {
			var index memberIndex
			index.rebuild(self, members, roots)
			parents := index.parents(roots, fanout)
			if len(parents) == 0 && index.position >= roots {
				t.Fatalf("member at position %d: got no parent, want at least one", index.position)
			}
			for _, parent := range parents {
				children[parent.Name]++
				for position, member := range index.zoneMembers {
					if member.Name == parent.Name && position >= index.position {
						t.Fatalf("member at position %d: got a parent at position %d, want a lower position", index.position, position)
					}
				}
			}
		}
		for name, count := range children {
			if count > 2*fanout {
				t.Fatalf("member %s: got %d children, want at most %d", name, count, 2*fanout)
			}
		}
	})
}

func TestPacketEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := rapid.Uint64Range(1, 1<<40).Draw(t, "revision")
		name := rapid.StringN(1, 20, 40).Draw(t, "name")
		packet := rapid.SampledFrom([]Packet{
			{Request: &ExchangeRequest{Sequence: revision << 20, Name: name, Incarnation: 7, Revision: revision, Claim: true}},
			{Response: &ExchangeResponse{Sequence: 1, Name: name, Revision: revision, Voter: true, Confirmed: true,
				Age: time.Duration(revision), Claims: []Claim{{name, revision}}}},
			{Push: &Push{Name: name, Revision: revision, Changes: []catalog.Change{
				{Revision: revision, ID: ChangeID(revision, "T"), At: time.Unix(1, 5).UTC(), Command: serviceProposal("s").Command}}}},
		}).Draw(t, "packet")
		encoded, err := EncodePacket(packet)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodePacket(encoded)
		if err != nil || !reflect.DeepEqual(decoded, packet) {
			t.Fatalf("decoded packet: got %+v, error %v, want %+v", decoded, err, packet)
		}
	})
}
