package recordfloor

import "testing"

// TestFloorIsTheLeastOfTheLastSamples, and there is none before there are enough, or
// after records were missed.
func TestFloorIsLowestOfRecentSamples(t *testing.T) {
	estimator := NewEstimator()
	for sample := range byte(Samples) {
		if got := estimator.Floor("kind"); got != nil {
			t.Errorf("floor %v after %d samples", got, sample)
		}
		estimator.Learn("kind", []byte{sample}, false)
	}
	if got := estimator.Floor("kind"); len(got) != 1 || got[0] != 0 {
		t.Errorf("floor %v", got)
	}
	estimator.Learn("kind", []byte{Samples}, false)
	estimator.Learn("kind", nil, false)
	if got := estimator.Floor("kind"); len(got) != 1 || got[0] != 1 {
		t.Errorf("floor %v after one more", got)
	}
	estimator.Learn("kind", nil, true)
	if got := estimator.Floor("kind"); got != nil {
		t.Errorf("floor %v after records were missed", got)
	}
}

// TestRankIsThePartOfTheWholeParts: 1.5 times the records of an answer, and 5 more, are
// expected in all parts.
func TestRankScalesWithCompleteParts(t *testing.T) {
	for _, test := range []struct{ k, whole, all, want int }{
		{50, 30, 30, 81}, {50, 10, 30, 27}, {1, 1, 1, 7},
	} {
		if got := Rank(test.k, test.whole, test.all); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}
