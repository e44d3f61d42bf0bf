package quarantine

import (
	"testing"
	"time"
)

// TestBackgroundChanceByService checks that the chance follows the crash rate of its service over
// serviceHalfLife, leaves other services unaffected, and decays.
func TestBackgroundChanceByService(t *testing.T) {
	var background BackgroundRate
	for run := range 140 {
		background.Add(0, harmlessContent, false, 1, run < 50)
	}
	const later = 30 * globalHalfLife
	if chance := background.CrashChance(later, crashingContent, 1); chance < 0.25 || chance > 0.4 {
		t.Errorf("chance %v after 50 crashes in 140 attempts, want 0.25 to 0.4", chance)
	}
	for _, test := range []struct {
		at      time.Duration
		service int
	}{{later, 0}, {later, 7}, {time.Hour, 1}} {
		if chance := background.CrashChance(test.at, crashingContent, test.service); chance > 1.01*priorCrashes/priorAttempts {
			t.Errorf("chance %v at %v of service %d, want the prior %v", chance, test.at, test.service, priorCrashes/priorAttempts)
		}
	}
}

// TestRequestBesideCrashingRequestIsNotHeld guards against holding a harmless request because
// another request crashes all leaves at the same time. No leaf answered the harmless request
// before, and its trials crash as well. The other request is held by its later trials.
func TestRequestBesideCrashingRequestIsNotHeld(t *testing.T) {
	s := newScenario(t)
	var background BackgroundRate
	s.table.RecordCrashes(s.now, harmlessContent, "r", s.newCrashes(8))
	s.table.RecordCrashes(s.now, crashingContent, "r", s.newCrashes(8))
	for service := range 12 {
		background.Add(s.now, harmlessContent, true, service, true)
		background.Add(s.now, crashingContent, true, service, true)
	}
	for trial := range 2 {
		s.now += 100 * time.Millisecond
		for _, content := range []Content{harmlessContent, crashingContent} {
			if s.crashTrial(content, background.CrashChance(s.now, content, 0)) {
				t.Errorf("held after trial %d, while leaves crash under another request", trial+1)
			}
			background.Add(s.now, content, true, 0, true)
		}
	}
	for range 3 {
		s.now += 5 * time.Second
		for service := range 60 {
			background.Add(s.now, harmlessContent, true, service%12, false)
		}
		if s.crashTrial(crashingContent, background.CrashChance(s.now, crashingContent, 0)) {
			return
		}
	}
	t.Error("request that crashes leaves not held after three more trials")
}
