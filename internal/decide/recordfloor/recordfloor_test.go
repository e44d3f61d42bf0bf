package recordfloor

import "testing"

// TestFloorIsLowestOfRecentSamples also checks that there is no floor with too few samples, or
// after records were missed.
func TestFloorIsLowestOfRecentSamples(t *testing.T) {
	estimator := NewEstimator()
	for sample := range byte(SampleCount) {
		if got := estimator.Floor("kind"); got != nil {
			t.Errorf("got floor %v after %d samples, want none", got, sample)
		}
		estimator.Learn("kind", []byte{sample}, false)
	}
	if got := estimator.Floor("kind"); len(got) != 1 || got[0] != 0 {
		t.Errorf("got floor %v, want [0]", got)
	}
	estimator.Learn("kind", []byte{SampleCount}, false)
	estimator.Learn("kind", nil, false)
	if got := estimator.Floor("kind"); len(got) != 1 || got[0] != 1 {
		t.Errorf("got floor %v after another sample, want [1]", got)
	}
	estimator.Learn("kind", nil, true)
	if got := estimator.Floor("kind"); got != nil {
		t.Errorf("got floor %v after records were missed, want none", got)
	}
}

// TestRankScalesWithCompleteParts: over all parts, 1.5 times the records of an answer and 5 more
// are expected to reach the floor.
func TestRankScalesWithCompleteParts(t *testing.T) {
	for _, test := range []struct{ k, whole, all, want int }{
		{50, 30, 30, 81}, {50, 10, 30, 27}, {1, 1, 1, 7},
	} {
		if got := SampleRank(test.k, test.whole, test.all); got != test.want {
			t.Errorf("%+v: got rank %d", test, got)
		}
	}
}
