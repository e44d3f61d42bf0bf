package quarantine

import (
	"testing"
	"time"
)

// TestBackgroundIsWhatOthersMeet, at the service over half a minute, and fades.
func TestBackgroundIsWhatOthersMeet(t *testing.T) {
	var background Background
	for run := range 140 {
		background.Add(0, good, false, 1, run < 50)
	}
	const later = 30 * momentHalfLife
	if chance := background.Chance(later, bad, 1); chance < 0.25 || chance > 0.4 {
		t.Errorf("chance %v with 50 of 140 runs ended", chance)
	}
	for _, one := range []struct {
		at      time.Duration
		service int
	}{{later, 0}, {later, 7}, {time.Hour, 1}} {
		if chance := background.Chance(one.at, bad, one.service); chance > 1.01*priorCrashes/priorRuns {
			t.Errorf("chance %v at %v of service %d", chance, one.at, one.service)
		}
	}
}

// TestRequestBesideAnotherThatEndsAllLeaves is not held for the ends of that moment,
// though it is the only one besides, was answered by none before, and its trials end,
// too. The other one is, by its trials of later.
func TestRequestBesideAnotherThatEndsAllLeaves(t *testing.T) {
	p := newPlay(t)
	var background Background
	p.table.Suspect(p.now, good, "r", p.leaves(8))
	p.table.Suspect(p.now, bad, "r", p.leaves(8))
	for service := range 12 {
		background.Add(p.now, good, true, service, true)
		background.Add(p.now, bad, true, service, true)
	}
	for trial := range 2 {
		p.now += 100 * time.Millisecond
		for _, content := range []Content{good, bad} {
			if p.fail(content, background.Chance(p.now, content, 0)) {
				t.Errorf("held by trial %d of the moment", trial+1)
			}
			background.Add(p.now, content, true, 0, true)
		}
	}
	for range 3 {
		p.now += 5 * time.Second
		for service := range 60 {
			background.Add(p.now, good, true, service%12, false)
		}
		if p.fail(bad, background.Chance(p.now, bad, 0)) {
			return
		}
	}
	t.Error("a request that ends leaves is not held")
}
