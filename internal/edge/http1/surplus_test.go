package http1

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

const otherResponse = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"

// Guards against surplus bytes that leave no trace of where they arrived.
func TestSurplusIsCountedByItsPlace(t *testing.T) {
	for _, test := range []struct {
		place   string
		replies []string // to the requests of the first connection
		skipped int      // before the last response
	}{
		{surplusBefore, []string{okResponse, otherResponse + okResponse}, 1},
		{surplusBehind, []string{okResponse, okResponse + otherResponse}, 0},
	} {
		t.Run(test.place, func(t *testing.T) {
			b := newBackend(t, func(_, request int) string { return test.replies[request-1] })
			client := newClient(t, 1)
			var last *Response
			for range test.replies {
				response, err := doGet(t, client, b.target())
				if err != nil {
					t.Fatal(err)
				}
				last = response
			}
			if got := testutil.ToFloat64(client.metrics.surplusResponses.WithLabelValues(test.place)); got != 1 {
				t.Errorf("counted %v surplus responses %s, want 1", got, test.place)
			}
			if use := last.Connection; use.Request != 2 || use.Skipped != test.skipped || use.LocalPort == 0 {
				t.Errorf("got connection %+v, want request 2, %d skipped, and a port", use, test.skipped)
			}
		})
	}
}

// Guards against a late second response that closes an idle connection and is counted nowhere.
func TestSurplusOnIdleConnectionIsCounted(t *testing.T) {
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	if _, err := doGet(t, client, b.target()); err != nil {
		t.Fatal(err)
	}
	late := b.lastSocket()
	if _, err := late.Write([]byte(otherResponse)); err != nil {
		t.Fatal(err)
	}
	counter := client.metrics.surplusResponses.WithLabelValues(surplusIdle)
	for end := time.Now().Add(10 * time.Second); testutil.ToFloat64(counter) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("surplus on an idle connection was not counted")
		}
	}
}

// Guards against a request that waits until its deadline on a connection that is being closed.
func TestSurplusLeavesNoRequestWithoutResult(t *testing.T) {
	const rounds = 3000
	b := newBackend(t, func(int, int) string { return okResponse })
	client := newClient(t, 1)
	for round := range rounds {
		if _, err := doGet(t, client, b.target()); errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("round %d: request has waited until its deadline", round)
		}
		var late sync.WaitGroup
		socket := b.lastSocket()
		late.Go(func() {
			spin(round % 50)
			_, _ = socket.Write([]byte(otherResponse)) // fails if the connection is closed already
		})
		spin(25)
		if _, err := doGet(t, client, b.target()); errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("round %d: request beside a late response has waited until its deadline", round)
		}
		late.Wait()
	}
}

// spin takes a time in the order of the given number of microseconds.
func spin(microseconds int) {
	for end := time.Now().Add(time.Duration(microseconds) * time.Microsecond); time.Now().Before(end); {
		runtime.Gosched()
	}
}
