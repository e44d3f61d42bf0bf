package node

import (
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

func TestMajorityCountsVotersOnce(t *testing.T) {
	voters := map[string]catalog.Voter{"a": {}, "b": {}, "c": {}}
	heard := func(peer dissemination.PeerRevision) bool { return peer.At > time.Second }
	peer := func(name string, at time.Duration) dissemination.PeerRevision {
		return dissemination.PeerRevision{Name: name, At: at}
	}
	late, early := 2*time.Second, time.Second
	cases := []struct {
		name  string
		self  string
		peers []dissemination.PeerRevision
		want  bool
	}{
		{"one other voter", "a", []dissemination.PeerRevision{peer("b", late)}, true},
		{"nobody", "a", nil, false},
		{"heard too long ago", "a", []dissemination.PeerRevision{peer("b", early), peer("c", early)}, false},
		{"itself does not count twice", "a", []dissemination.PeerRevision{peer("a", late)}, false},
		{"others do not vote", "a", []dissemination.PeerRevision{peer("d", late), peer("e", late)}, false},
		{"no voter itself, one voter", "d", []dissemination.PeerRevision{peer("b", late)}, false},
		{"no voter itself, two voters", "d", []dissemination.PeerRevision{peer("b", late), peer("c", late)}, true},
	}
	for _, test := range cases {
		if got := isMajority(voters, test.self, test.peers, heard); got != test.want {
			t.Errorf("%s: got %v", test.name, got)
		}
	}
}
