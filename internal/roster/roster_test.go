package roster

import (
	"strings"
	"testing"
	"time"
)

const memory = 20 * time.Second

func name(key string) string { return strings.Split(key, "/")[0] }

func TestCount(t *testing.T) {
	r := New(memory, 12)
	check := func(now time.Duration, want int, why string) {
		t.Helper()
		if got := r.Count(now, name); got != want {
			t.Errorf("%s: %d, want %d", why, got, want)
		}
	}
	check(time.Hour, 12, "nothing is known")
	r.Replace(0, []string{"a/1", "b/1", "c/1"})
	check(memory-1, 12, "known for a short time")
	check(memory, 3, "known for long")
	r.Add(memory, "a/2")
	check(memory, 3, "a node that restarted counts once")
	r.Remove(memory, "a/1")
	check(10*memory, 3, "its former incarnation lapsed")
	r.Remove(10*memory, "b/1")
	check(11*memory, 3, "gone lately")
	check(11*memory+1, 2, "gone for long")
	r.Replace(20*memory, nil)
	check(20*memory, 2, "all leases lapsed in an outage")
	r.Replace(20*memory+1, []string{"a/3", "c/3", "d/1"})
	check(30*memory, 3, "and were taken again")
	r.Replace(30*memory, nil)
	check(40*memory, 1, "never less than this node")
}
