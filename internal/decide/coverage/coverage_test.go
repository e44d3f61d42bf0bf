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
		if p.Complete() && (!p.MeetsMinimum(1) || p.Unanswerable()) {
			t.Fatalf("%+v is whole, but not enough or hopeless", p)
		}
		if p.MeetsMinimum(1) && !p.Complete() || answered > 0 && !p.MeetsMinimum(float64(answered)/float64(total)) {
			t.Fatalf("rounding changes whether %+v is enough", p)
		}
		if answered == 0 && p.MeetsMinimum(0) {
			t.Fatalf("%+v has no answer, but is enough", p)
		}
		if p.Unanswerable() && !p.NoneAwaited() {
			t.Fatalf("%+v is hopeless, but a shard is awaited", p)
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
			t.Errorf("query with %s: got settle time %s, want %s", test.given, got, time.Hour+test.given-test.margin)
		}
	}
}
