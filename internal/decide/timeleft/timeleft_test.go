package timeleft

import (
	"testing"
	"time"
)

// TestTimeoutIsShorterOfRouteAndClient checks which of the two timeouts ends a request.
func TestTimeoutIsShorterOfRouteAndClient(t *testing.T) {
	const route = 500 * time.Millisecond
	for _, test := range []struct{ client, sinceArrival, want time.Duration }{
		{0, time.Minute, route},
		{time.Second, 0, route},
		{400 * time.Millisecond, 0, 400 * time.Millisecond},
		{time.Second, 800 * time.Millisecond, 200 * time.Millisecond},
		{time.Second, time.Second, minRemaining},
		{time.Second, time.Minute, minRemaining},
	} {
		if got := Timeout(route, test.client, test.sinceArrival); got != test.want {
			t.Errorf("client %v, since arrival %v: got timeout %v, want %v", test.client, test.sinceArrival, got, test.want)
		}
	}
}

// TestSpentTimeReducesObjective checks each spent time alone and all of them together.
func TestSpentTimeReducesObjective(t *testing.T) {
	const route = 100 * time.Millisecond
	for _, test := range []struct {
		spent Spent
		want  time.Duration
	}{
		{Spent{}, route},
		{Spent{BeforeArrival: 10 * time.Millisecond}, 90 * time.Millisecond},
		{Spent{SinceArrival: 10 * time.Millisecond}, 90 * time.Millisecond},
		{Spent{RelayTime: 10 * time.Millisecond}, 90 * time.Millisecond},
		{Spent{ClientLink: 10 * time.Millisecond}, 90 * time.Millisecond},
		{Spent{BeforeArrival: 1, SinceArrival: 2, RelayTime: 3, ClientLink: 4}, route - 10},
		{Spent{SinceArrival: time.Second}, 0},
	} {
		if got := Objective(route, test.spent); got != test.want {
			t.Errorf("%+v: got objective %v, want %v", test.spent, got, test.want)
		}
	}
}
