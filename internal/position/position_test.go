package position

import "testing"

// TestEraPrecedesRevision checks that a position of a later era follows all of the earlier ones.
func TestEraPrecedesRevision(t *testing.T) {
	ordered := []Position{{}, {Revision: 9}, {Era: 1, Revision: 2}, {Era: 1, Revision: 3}, {Era: 2}, {Era: 2, Revision: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			if got, want := a.Before(b), i < j; got != want {
				t.Errorf("%v before %v: got %v, want %v", a, b, got, want)
			}
			if got, want := Max(a, b), ordered[max(i, j)]; got != want {
				t.Errorf("maximum of %v and %v: got %v, want %v", a, b, got, want)
			}
		}
	}
}
