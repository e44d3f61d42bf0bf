package machines

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestPollRejectsInvalidLists(t *testing.T) {
	body := `{"as_of_unix_ms": 5, "machines": [{"address": "127.0.0.1:7101", "kind": "leaf", "state": "live"}]}`
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, body)
	}))
	defer server.Close()
	registry := prometheus.NewRegistry()
	config := Config{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	poller := NewPoller(config, rand.New(rand.NewPCG(1, 1)), registry)
	defer poller.client.CloseIdleConnections()
	if list, err := poller.Poll(context.Background()); err != nil || list.AsOfUnixMilliseconds != 5 {
		t.Fatalf("poll of a valid list: got %+v, error %v, want a list as of 5", list, err)
	}
	for _, body = range []string{
		`{"machines": [{"address": "host:7101", "kind": "leaf", "state": "live"}]}`,
		`{"machines": [{"address": "", "kind": "leaf", "state": "live"}]}`,
		`{"machines": [{"address": "127.0.0.1:0", "kind": "leaf", "state": "live"}]}`,
		`{"machines": [{"address": "127.0.0.1:7101", "kind": "cat", "state": "live"}]}`,
		`{"machines": [{"address": "127.0.0.1:7101", "kind": "leaf", "state": "asleep"}]}`,
		`{"machines": [`,
		``,
	} {
		if _, err := poller.Poll(context.Background()); err == nil {
			t.Errorf("poll of %q: got no error, want one", body)
		}
	}
	if reading := poller.Last(); len(reading.List.Machines) != 1 || reading.Err == nil {
		t.Fatalf("last reading: got %+v, want the last valid list with 1 machine and an error", reading)
	}
	if count := testutil.ToFloat64(poller.metrics.polls.WithLabelValues("failed")); count != 7 {
		t.Errorf("reads counted as failed: got %v, want 7", count)
	}
}

func TestPollDelayStaysWithinJitter(t *testing.T) {
	poller := NewPoller(Config{Interval: time.Second, Jitter: 0.2}, rand.New(rand.NewPCG(1, 1)), nil)
	lowest, highest := time.Hour, time.Duration(0)
	for range 10000 {
		nextDelay := poller.nextDelay()
		lowest, highest = min(lowest, nextDelay), max(highest, nextDelay)
	}
	if lowest < 800*time.Millisecond || lowest > 805*time.Millisecond || highest < 1195*time.Millisecond || highest > 1200*time.Millisecond {
		t.Fatalf("delays: got %s to %s, want 800 ms to 1200 ms with both limits nearly reached", lowest, highest)
	}
}
