package peer

import (
	"testing"
	"time"
)

// TestSilence covers which waits in vain make a connection silent. Each case lists
// calls that were given up, as begin and end in milliseconds, or a frame as one
// moment twice.
func TestSilenceDetector(t *testing.T) {
	for _, test := range []struct {
		name   string
		events [][2]int
		want   bool
	}{
		{"one long wait", [][2]int{{0, 800}}, true},
		{"two waits of a question", [][2]int{{0, 350}, {400, 750}}, true},
		{"short ones", [][2]int{{0, 250}, {300, 550}, {600, 850}, {900, 1150}}, false},
		{"waits at the same time", [][2]int{{0, 400}, {0, 400}, {50, 400}, {90, 400}}, false},
		{"a frame came meanwhile", [][2]int{{300, 300}, {0, 800}}, false},
		{"a frame came between", [][2]int{{0, 400}, {450, 450}, {500, 900}}, false},
		{"silent after a frame", [][2]int{{10, 10}, {20, 400}, {420, 800}}, true},
		{"waits that overlap", [][2]int{{0, 400}, {100, 500}, {200, 750}}, true},
	} {
		var s silenceDetector
		origin := time.Now()
		at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
		got := false
		for _, one := range test.events {
			if one[0] == one[1] {
				s.frameReceived(at(one[0]))
				continue
			}
			got = s.callAbandoned(at(one[0]), at(one[1])) || got
		}
		if got != test.want {
			t.Errorf("%s: silent %v, want %v", test.name, got, test.want)
		}
	}
}
