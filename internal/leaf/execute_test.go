package leaf

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"go.uber.org/goleak"
	"golang.org/x/net/http2"

	"github.com/micaplank/micaplank/internal/catalog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestClient(t *testing.T, config Config) *Client {
	t.Helper()
	config.ConnectWait = 5 * time.Second // dials are slow on a loaded machine
	client := New(config, prometheus.NewRegistry())
	t.Cleanup(client.Close)
	return client
}

func testRequest(repeatable bool) ExecuteRequest {
	return ExecuteRequest{
		RequestID:             "request",
		AttemptID:             "attempt",
		Service:               "rate-desk",
		Shard:                 3,
		Snapshot:              catalog.Snapshot{Version: 7, Epoch: 2},
		Statement:             "select * from rate-desk",
		RemainingMilliseconds: 2000,
		Repeatable:            repeatable,
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestRequestIsSentOnce checks that net/http never sends a request again after it has arrived at
// the leaf, whatever fails then, and that Sent is false only if the leaf did not process it.
func TestRequestIsSentOnce(t *testing.T) {
	cases := map[string]struct {
		onRequest func(conn *rawConn, stream uint32, body []byte) bool
		sent      bool
		cause     error
	}{
		"connection closed": {
			onRequest: func(*rawConn, uint32, []byte) bool { return false },
			sent:      true,
		},
		"connection reset": {
			onRequest: func(conn *rawConn, _ uint32, _ []byte) bool {
				conn.Conn.(*net.TCPConn).SetLinger(0)
				return false
			},
			sent: true,
		},
		"GOAWAY that includes the stream, then connection closed": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.framer.WriteGoAway(stream, http2.ErrCodeNo, nil)
				return false
			},
			sent: true,
		},
		"GOAWAY below the stream, then connection closed": {
			onRequest: func(conn *rawConn, _ uint32, _ []byte) bool {
				conn.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
				return false
			},
			sent:  false,
			cause: ErrGoingAway,
		},
		"stream refused": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
				return true
			},
			sent:  false,
			cause: ErrRefusedStream,
		},
		"stream reset": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.framer.WriteRSTStream(stream, http2.ErrCodeInternal)
				return true
			},
			sent: true,
		},
		"protocol error from the leaf": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.framer.WriteRSTStream(stream, http2.ErrCodeProtocol)
				return true
			},
			sent: true,
		},
		"connection closed after the reply headers": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.writeReplyHeaders(stream)
				return false
			},
			sent: true,
		},
		"stream refused after the reply headers": {
			onRequest: func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.writeReplyHeaders(stream)
				conn.framer.WriteRSTStream(stream, http2.ErrCodeRefusedStream)
				return true
			},
			sent: true,
		},
	}
	for name, test := range cases {
		for _, repeatable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				server := startRawServer(t, test.onRequest)
				client := newTestClient(t, Config{})
				_, err := client.Execute(testContext(t), server.address(), testRequest(repeatable))
				var transportError *TransportError
				if !errors.As(err, &transportError) {
					t.Fatalf("got error %v, want a *TransportError", err)
				}
				if transportError.Sent != test.sent {
					t.Errorf("got Sent %t, want %t (error %v)", transportError.Sent, test.sent, err)
				}
				if test.cause != nil && !errors.Is(err, test.cause) {
					t.Errorf("got error %v, want cause %v", err, test.cause)
				}
				client.Close()
				if arrivals := server.arrivals.Load(); arrivals != 1 {
					t.Errorf("got %d arrivals at the leaf, want 1", arrivals)
				}
			})
		}
	}
}

func TestGoAwayTextMatchesNetHTTP(t *testing.T) {
	server := startRawServer(t, func(conn *rawConn, _ uint32, _ []byte) bool {
		conn.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
		return true
	})
	client := newTestClient(t, Config{})
	_, err := client.Execute(testContext(t), server.address(), testRequest(true))
	if !errors.Is(err, ErrGoingAway) {
		t.Fatalf("got error %v, want %v", err, ErrGoingAway)
	}
}

// TestClosedIdleConnection checks calls on a pooled connection that the leaf closes after the first
// reply, before the connection is used again.
func TestClosedIdleConnection(t *testing.T) {
	server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return conn.number > 1 // the first connection is closed after its first reply
	})
	client := newTestClient(t, Config{ConnectionsPerLeaf: 1})
	calls, failures := 0, 0
	for range 5 {
		calls++
		_, err := client.Execute(testContext(t), server.address(), testRequest(false))
		var transportError *TransportError
		if errors.As(err, &transportError) && !transportError.Sent {
			failures++
		}
	}
	if arrivals := int(server.arrivals.Load()); arrivals > calls-failures {
		t.Fatalf("got %d arrivals at the leaf, want at most %d (%d calls, %d not sent)", arrivals, calls-failures, calls, failures)
	}
}

func TestUnsentErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddress := listener.Addr().(*net.TCPAddr).AddrPort()
	listener.Close()
	server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return true
	})
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	client := newTestClient(t, Config{})
	if _, err := client.Execute(testContext(t), server.address(), testRequest(false)); err != nil {
		t.Fatal(err)
	}
	for name, call := range map[string]struct {
		ctx     context.Context
		address netip.AddrPort
	}{
		"no listener":                         {testContext(t), unusedAddress},
		"context cancelled":                   {cancelled, server.address()},
		"context cancelled and no connection": {cancelled, unusedAddress},
	} {
		_, err := client.Execute(call.ctx, call.address, testRequest(false))
		var transportError *TransportError
		if !errors.As(err, &transportError) || transportError.Sent {
			t.Errorf("%s: got error %v, want a *TransportError with Sent false", name, err)
		}
		attributes, _ := oops.AsOops(err)
		if attributes.Context()["peer"] != call.address.String() || attributes.Context()["step"] != string(transportError.Step) {
			t.Errorf("%s: got attributes %v, want peer %s and step %s", name, attributes.Context(), call.address, transportError.Step)
		}
	}
	if server.arrivals.Load() != 1 {
		t.Errorf("got %d arrivals at the leaf, want 1", server.arrivals.Load())
	}
}

func TestConnectionsAreSharedAndDialedEagerly(t *testing.T) {
	server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return true
	})
	client := newTestClient(t, Config{ConnectionsPerLeaf: 3})
	client.poolOrNil(server.address())
	for ctx := testContext(t); server.dials.Load() < 3 && ctx.Err() == nil; {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		if _, err := client.Execute(testContext(t), server.address(), testRequest(true)); err != nil {
			t.Fatal(err)
		}
	}
	if dials := server.dials.Load(); dials != 3 {
		t.Errorf("got %d dials, want 3", dials)
	}
	client.Forget(server.address())
	if _, err := client.Execute(testContext(t), server.address(), testRequest(true)); err != nil {
		t.Errorf("got error %v after Forget, want none", err)
	}
}

// expiredContext is a context whose deadline has passed while its timer has not fired, as after the
// process was frozen.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// TestGuardAndDeadlineAreCheckedBeforeSend checks that no request arrives if the guard fails or the
// deadline passes between the decision to send and the write, as after the process was frozen.
func TestGuardAndDeadlineAreCheckedBeforeSend(t *testing.T) {
	errStale := errors.New("stale")
	server := startRawServer(t, func(conn *rawConn, stream uint32, body []byte) bool {
		conn.reply(stream, successReply(body))
		return true
	})
	guarded := newTestClient(t, Config{Guard: func() error { return errStale }})
	_, err := guarded.Execute(testContext(t), server.address(), testRequest(false))
	var transportError *TransportError
	if !errors.As(err, &transportError) || transportError.Sent || !errors.Is(err, errStale) {
		t.Errorf("failing guard: got error %v, want %v with Sent false", err, errStale)
	}
	client := newTestClient(t, Config{})
	_, err = client.Execute(expiredContext{testContext(t)}, server.address(), testRequest(false))
	if !errors.As(err, &transportError) || transportError.Sent || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("expired deadline: got error %v, want %v with Sent false", err, context.DeadlineExceeded)
	}
	late := newExecuteMessage(2000, []byte("{}"))
	late.sendBy = late.sendBy.Add(-2 * time.Second)
	_, err = client.call(testContext(t), server.address(), late, new(ExecuteResponse))
	if !errors.As(err, &transportError) || transportError.Sent || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("no time remaining: got error %v, want %v with Sent false", err, context.DeadlineExceeded)
	}
	if _, err := guarded.Load(testContext(t), server.address()); errors.Is(err, errStale) {
		t.Errorf("load report: got error %v, want the guard not to apply", err)
	}
	guarded.Close()
	client.Close()
	if arrivals := server.arrivals.Load(); arrivals != 0 {
		t.Errorf("got %d arrivals at the leaf, want 0", arrivals)
	}
}
