package peer

import (
	"testing"
	"time"
)

// TestSilenceDetector checks which abandoned calls make a connection count as dead. Each case lists
// abandoned calls by their start and end in milliseconds. An event with equal times is a received
// frame.
func TestSilenceDetector(t *testing.T) {
	for _, test := range []struct {
		name   string
		events [][2]int
		want   bool
	}{
		{"one long wait", [][2]int{{0, 800}}, true},
		{"two consecutive waits", [][2]int{{0, 350}, {400, 750}}, true},
		{"short waits", [][2]int{{0, 250}, {300, 550}, {600, 850}, {900, 1150}}, false},
		{"concurrent waits", [][2]int{{0, 400}, {0, 400}, {50, 400}, {90, 400}}, false},
		{"frame during a wait", [][2]int{{300, 300}, {0, 800}}, false},
		{"frame between waits", [][2]int{{0, 400}, {450, 450}, {500, 900}}, false},
		{"waits after a frame", [][2]int{{10, 10}, {20, 400}, {420, 800}}, true},
		{"overlapping waits", [][2]int{{0, 400}, {100, 500}, {200, 750}}, true},
	} {
		var s silenceDetector
		origin := time.Now()
		at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
		got := false
		for _, event := range test.events {
			if event[0] == event[1] {
				s.frameReceived(at(event[0]))
				continue
			}
			got = s.callAbandoned(at(event[0]), at(event[1])) || got
		}
		if got != test.want {
			t.Errorf("%s: got silent %v, want %v", test.name, got, test.want)
		}
	}
}
