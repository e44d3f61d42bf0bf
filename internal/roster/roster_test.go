package roster

import (
	"net/netip"
	"strings"
	"testing"
	"time"
)

const testRetention = 20 * time.Second

func testMember(key string) Member {
	return Member{Name: strings.Split(key, "/")[0], Zone: "zone of " + key}
}

func testMembers(keys ...string) map[string]Member {
	members := make(map[string]Member)
	for _, key := range keys {
		members[key] = testMember(key)
	}
	return members
}

func TestCount(t *testing.T) {
	r := New(testRetention, 12)
	check := func(now time.Duration, want int, state string) {
		t.Helper()
		if got := r.Count(now); got != want {
			t.Errorf("%s: got count %d, want %d", state, got, want)
		}
	}
	check(time.Hour, 12, "no announcement")
	r.Replace(0, testMembers("a/1", "b/1", "c/1"))
	check(testRetention-1, 12, "before the retention has passed")
	check(testRetention, 3, "after the retention has passed")
	r.Add(testRetention, "a/2", testMember("a/2"))
	check(testRetention, 3, "second incarnation of a node")
	r.Remove(testRetention, "a/1")
	check(10*testRetention, 3, "first incarnation removed")
	r.Remove(10*testRetention, "b/1")
	check(11*testRetention, 3, "removed node within the retention")
	check(11*testRetention+1, 2, "removed node after the retention")
	r.Replace(20*testRetention, nil)
	check(20*testRetention, 2, "all leases expired in an outage")
	r.Replace(20*testRetention+1, testMembers("a/3", "c/3", "d/1"))
	check(30*testRetention, 3, "nodes announced again after the outage")
	r.Replace(30*testRetention, nil)
	check(40*testRetention, 1, "no node but this one")
}

func TestMembersReturnsLatestIncarnation(t *testing.T) {
	r := New(testRetention, 1)
	r.Add(0, "b/1", testMember("b/1"))
	r.Add(0, "a/1", testMember("a/1"))
	r.Add(1, "a/2", testMember("a/2"))
	r.Remove(2, "a/1")
	got := r.Members(3)
	if len(got) != 2 || got[0] != testMember("a/2") || got[1] != testMember("b/1") {
		t.Errorf("got members %+v, want a/2 and b/1", got)
	}
}

func TestMemberRoundTrip(t *testing.T) {
	want := Member{Name: "a", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:7380"), Cores: 0.4}
	value, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(value); err != nil || got != want {
		t.Errorf("got member %+v and error %v, want %+v", got, err, want)
	}
	if _, err := Decode([]byte("zone-a")); err == nil {
		t.Error("got no error for a value that is not JSON, want one")
	}
}
