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
	made := make(map[string]Member)
	for _, key := range keys {
		made[key] = testMember(key)
	}
	return made
}

func TestCount(t *testing.T) {
	r := New(testRetention, 12)
	check := func(now time.Duration, want int, why string) {
		t.Helper()
		if got := r.Count(now); got != want {
			t.Errorf("%s: %d, want %d", why, got, want)
		}
	}
	check(time.Hour, 12, "nothing is known")
	r.Replace(0, testMembers("a/1", "b/1", "c/1"))
	check(testRetention-1, 12, "known for a short time")
	check(testRetention, 3, "known for long")
	r.Add(testRetention, "a/2", testMember("a/2"))
	check(testRetention, 3, "a node that restarted counts once")
	r.Remove(testRetention, "a/1")
	check(10*testRetention, 3, "its former incarnation lapsed")
	r.Remove(10*testRetention, "b/1")
	check(11*testRetention, 3, "gone lately")
	check(11*testRetention+1, 2, "gone for long")
	r.Replace(20*testRetention, nil)
	check(20*testRetention, 2, "all leases lapsed in an outage")
	r.Replace(20*testRetention+1, testMembers("a/3", "c/3", "d/1"))
	check(30*testRetention, 3, "and were taken again")
	r.Replace(30*testRetention, nil)
	check(40*testRetention, 1, "never less than this node")
}

func TestMembersReturnsLatestIncarnation(t *testing.T) {
	r := New(testRetention, 1)
	r.Add(0, "b/1", testMember("b/1"))
	r.Add(0, "a/1", testMember("a/1"))
	r.Add(1, "a/2", testMember("a/2"))
	r.Remove(2, "a/1")
	found := r.Members(3)
	if len(found) != 2 || found[0] != testMember("a/2") || found[1] != testMember("b/1") {
		t.Errorf("%+v", found)
	}
}

func TestMemberRoundTrip(t *testing.T) {
	written := Member{Name: "a", Zone: "z", Peer: netip.MustParseAddrPort("10.0.0.1:7380"), Cores: 0.4}
	value, err := written.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if read, err := Decode(value); err != nil || read != written {
		t.Errorf("%+v, %v", read, err)
	}
	if _, err := Decode([]byte("zone-a")); err == nil {
		t.Error("read what is no announcement")
	}
}
