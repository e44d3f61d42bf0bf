package replica

import (
	"testing"
	"time"
)

func TestLossRateEstimate(t *testing.T) {
	config := DefaultLossConfig()
	var losses LossEstimator
	if got := losses.LossRate(&config, time.Hour); got != 0 {
		t.Errorf("no attempts: got loss rate %.2f, want 0", got)
	}
	now := time.Duration(0)
	for number := range 400 {
		now += 50 * time.Millisecond
		losses.RecordEnd(&config, now, number%5 < 2)
	}
	if got := losses.LossRate(&config, now); got < 0.3 || got > 0.45 {
		t.Errorf("two of five attempts lost: got loss rate %.2f, want 0.30 to 0.45", got)
	}
	if got := losses.LossRate(&config, now+time.Minute); got > 0.01 {
		t.Errorf("a minute later: got loss rate %.2f, want at most 0.01", got)
	}
	for range 60 {
		now += 50 * time.Millisecond
		losses.RecordEnd(&config, now, false)
	}
	if got := losses.LossRate(&config, now); got > 0.2 {
		t.Errorf("no losses for DecayTime: got loss rate %.2f, want at most 0.20", got)
	}
}

// TestLossyLeafIsAvoided checks that a lossy leaf is avoided, unless the alternative costs more
// than the expected losses.
func TestLossyLeafIsAvoided(t *testing.T) {
	score := DefaultScoreConfig()
	score.LossCost = 5
	ordinary := Candidate{Slots: 2, Limit: 3, Slowness: 1}
	lossy, seldom, slow := ordinary, ordinary, ordinary
	lossy.LossRate, seldom.LossRate, slow.Slowness = 0.3, 0.001, 8
	for _, test := range []struct {
		name string
		a, b Candidate
		less bool
	}{
		{"healthy leaf before lossy leaf", ordinary, lossy, true},
		{"lossy leaf before much slower leaf", lossy, slow, true},
		{"one loss in a thousand is negligible", seldom, ordinary, false},
	} {
		margin := score.TieMargin * score.computeScore(&test.b, Work{Base: 1, Mean: 1})
		if got := score.computeScore(&test.a, Work{Base: 1, Mean: 1}) < score.computeScore(&test.b, Work{Base: 1, Mean: 1})-margin; got != test.less {
			t.Errorf("%s: scores lower = %v, want %v", test.name, got, test.less)
		}
	}
}
