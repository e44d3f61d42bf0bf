package coverage

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestProgressInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 30).Draw(t, "total")
		answered := rapid.IntRange(0, total).Draw(t, "answered")
		p := Progress{Total: total, Answered: answered, Unavailable: rapid.IntRange(0, total-answered).Draw(t, "unavailable")}
		if p.Whole() && (!p.Enough(1) || p.Hopeless()) {
			t.Fatal("whole, but not enough")
		}
		if p.Enough(1) && !p.Whole() || answered > 0 && !p.Enough(float64(answered)/float64(total)) {
			t.Fatal("rounding changes what is enough")
		}
		if answered == 0 && p.Enough(0) {
			t.Fatal("no answer is enough")
		}
		if p.Hopeless() && !p.Exhausted() {
			t.Fatal("hopeless, but a shard is awaited")
		}
	})
}

func TestSettleAtLeavesMargin(t *testing.T) {
	config := DefaultConfig()
	for _, test := range []struct{ given, margin time.Duration }{
		{time.Second, 5 * time.Millisecond},
		{40 * time.Millisecond, 2 * time.Millisecond},
	} {
		if got := config.SettleAt(time.Hour, time.Hour+test.given, 0); got != time.Hour+test.given-test.margin {
			t.Errorf("%s: settles at %s", test.given, got)
		}
	}
}
