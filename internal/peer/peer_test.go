package peer_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/micaplank/micaplank/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type echoRequest struct {
	Number int
	Data   []byte
}

type echoResponse struct {
	Number int
	Data   []byte
}

// startServer starts a server with the methods echo (responds immediately), hold (reports its start
// and responds after release is closed) and grow (returns a response that is too large).
func startServer(t *testing.T) (server *peer.Server, started chan int, release chan struct{}) {
	t.Helper()
	server, err := peer.Listen(loopback, nil)
	if err != nil {
		t.Fatal(err)
	}
	started, release = make(chan int, 1024), make(chan struct{})
	echo := func(_ context.Context, _ netip.AddrPort, request *echoRequest) (*echoResponse, error) {
		if request.Number < 0 {
			return nil, errors.New("negative")
		}
		return &echoResponse{Number: request.Number, Data: request.Data}, nil
	}
	peer.Register(server, "echo", echo)
	peer.Register(server, "hold", func(ctx context.Context, from netip.AddrPort, request *echoRequest) (*echoResponse, error) {
		started <- request.Number
		select {
		case <-release:
			return echo(ctx, from, request)
		case <-ctx.Done():
			started <- -request.Number
			return nil, ctx.Err()
		}
	})
	peer.Register(server, "grow", func(context.Context, netip.AddrPort, *echoRequest) (*echoResponse, error) {
		return &echoResponse{Data: make([]byte, peer.MaxMessageSize+1)}, nil
	})
	server.Start()
	t.Cleanup(func() { _ = server.Close(cancelledContext()) })
	return server, started, release
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func newClient(t *testing.T, options peer.ClientOptions) *peer.Client {
	t.Helper()
	client := peer.NewClient(options, nil)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func checkError(t *testing.T, err error, step peer.Step, sent, notExecuted bool) {
	t.Helper()
	var failure *peer.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v, want a *peer.Error", err)
	}
	if failure.Step != step || failure.Sent != sent || failure.NotExecuted != notExecuted {
		t.Fatalf("got step %s, sent %t, not executed %t (%v); want %s, %t, %t",
			failure.Step, failure.Sent, failure.NotExecuted, err, step, sent, notExecuted)
	}
}

func TestConcurrentCallsGetTheirResponses(t *testing.T) {
	server, _, _ := startServer(t)
	client := newClient(t, peer.ClientOptions{ConnectionsPerPeer: 2})
	var calls sync.WaitGroup
	for number := range 200 {
		calls.Go(func() {
			data := bytes.Repeat([]byte{byte(number)}, number*100)
			var response echoResponse
			err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{number, data}, &response)
			if err != nil || response.Number != number || !bytes.Equal(response.Data, data) {
				t.Errorf("call %d: got number %d with %d bytes and error %v, want %d with %d bytes",
					number, response.Number, len(response.Data), err, number, len(data))
			}
		})
	}
	calls.Wait()
}

func TestCallErrors(t *testing.T) {
	server, started, release := startServer(t)
	client := newClient(t, peer.ClientOptions{})
	ctx := context.Background()
	var response echoResponse

	checkError(t, client.Call(ctx, netip.MustParseAddrPort("127.0.0.1:1"), "echo", &echoRequest{}, &response),
		peer.StepDial, false, true)
	checkError(t, client.Call(ctx, server.Address(), "nothing", &echoRequest{}, &response), peer.StepRefused, true, true)
	checkError(t, client.Call(ctx, server.Address(), "echo", &echoRequest{Number: -1}, &response),
		peer.StepHandler, true, false)
	checkError(t, client.Call(ctx, server.Address(), "echo", &echoRequest{Data: make([]byte, peer.MaxMessageSize+1)}, &response),
		peer.StepEncode, false, true)
	checkError(t, client.Call(ctx, server.Address(), "grow", &echoRequest{}, &response), peer.StepHandler, true, false)

	limited, cancel := context.WithCancel(ctx)
	go func() {
		<-started
		cancel()
	}()
	checkError(t, client.Call(limited, server.Address(), "hold", &echoRequest{Number: 7}, &response), peer.StepWait, true, false)
	if stopped := <-started; stopped != -7 {
		t.Fatalf("got %d from the handler, want -7 because its context was cancelled", stopped)
	}
	close(release)
	if err := client.Call(ctx, server.Address(), "echo", &echoRequest{Number: 3}, &response); err != nil || response.Number != 3 {
		t.Fatalf("call after failed calls: got number %d and error %v, want 3", response.Number, err)
	}
}

func TestServerCloseFinishesRunningCalls(t *testing.T) {
	server, started, release := startServer(t)
	client := newClient(t, peer.ClientOptions{})
	var calls sync.WaitGroup
	for number := range 20 {
		calls.Go(func() {
			var response echoResponse
			err := client.Call(context.Background(), server.Address(), "hold", &echoRequest{Number: number}, &response)
			if err != nil || response.Number != number {
				t.Errorf("call %d: got number %d and error %v, want %d", number, response.Number, err, number)
			}
		})
	}
	for range 20 {
		<-started
	}
	closed := make(chan error)
	go func() { closed <- server.Close(context.Background()) }()
	// When the server drains, new calls must fail with NotExecuted.
	for {
		err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{}, &echoResponse{})
		if err == nil {
			continue
		}
		if !peer.NotExecuted(err) {
			t.Errorf("call to a draining server: got error %v, want one with NotExecuted", err)
		}
		break
	}
	close(release)
	if err := <-closed; err != nil {
		t.Errorf("got error %v from Close, want none", err)
	}
	calls.Wait()
}

func TestLostConnectionFailsCalls(t *testing.T) {
	server, started, _ := startServer(t)
	client := newClient(t, peer.ClientOptions{})
	go func() {
		<-started
		_ = server.Close(cancelledContext())
	}()
	err := client.Call(context.Background(), server.Address(), "hold", &echoRequest{}, &echoResponse{})
	var failure *peer.Error
	if !errors.As(err, &failure) || !failure.Sent || failure.NotExecuted {
		t.Fatalf("got error %v, want one with Sent true and NotExecuted false", err)
	}
}

func TestCallsAfterIdleTimeout(t *testing.T) {
	server, _, _ := startServer(t)
	client := newClient(t, peer.ClientOptions{IdleTimeout: time.Millisecond})
	for range 20 {
		if err := client.Call(context.Background(), server.Address(), "echo", &echoRequest{}, &echoResponse{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestHandshakeMismatch(t *testing.T) {
	web := httptest.NewServer(http.NotFoundHandler())
	defer web.Close()
	address := netip.MustParseAddrPort(web.Listener.Addr().String())
	client := newClient(t, peer.ClientOptions{})
	err := client.Call(context.Background(), address, "echo", &echoRequest{}, &echoResponse{})
	checkError(t, err, peer.StepHandshake, false, true)
	if !errors.Is(err, peer.ErrHandshake) || !bytes.Contains([]byte(err.Error()), []byte("HTTP/1.1 400")) {
		t.Fatalf("got error %v, want %v with the greeting of the wrong peer", err, peer.ErrHandshake)
	}

	server, _, _ := startServer(t)
	conn, dialErr := net.Dial("tcp", server.Address().String())
	if dialErr != nil {
		t.Fatal(dialErr)
	}
	defer conn.Close()
	_, _ = conn.Write([]byte("micaplank-peer 999\n"))
	got := make([]byte, 64)
	n, _ := conn.Read(got)
	if string(got[:n]) != peer.Greeting {
		t.Fatalf("peer of another version: got greeting %q, want %q", got[:n], peer.Greeting)
	}
}

func TestDatagramDispatchByKind(t *testing.T) {
	server, sender, err := peer.ListenPair(loopback, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close(context.Background()) }()
	defer sender.Close()
	if server.Address() != sender.Address() {
		t.Fatalf("got addresses %s and %s, want equal ones", server.Address(), sender.Address())
	}
	receiver, err := peer.ListenDatagrams(loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	type arrival struct {
		from    netip.AddrPort
		payload string
	}
	arrivals := make(chan arrival, 1)
	receiver.Handle(peer.KindExchange, func(from netip.AddrPort, payload []byte) { arrivals <- arrival{from, string(payload)} })
	receiver.Handle(peer.KindMembership, func(netip.AddrPort, []byte) { t.Error("got a call of the handler of another kind, want none") })
	if err := sender.Send(peer.KindTopology, receiver.Address(), []byte("no handler")); err != nil {
		t.Fatal(err)
	}
	if err := sender.Send(peer.KindExchange, receiver.Address(), []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if got := <-arrivals; got.from != sender.Address() || got.payload != "hello" {
		t.Fatalf("got %q from %s, want %q from %s", got.payload, got.from, "hello", sender.Address())
	}
	err = sender.Send(peer.KindExchange, receiver.Address(), make([]byte, peer.MaxDatagramSize+1))
	if !errors.Is(err, peer.ErrTooLarge) {
		t.Fatalf("got error %v, want %v", err, peer.ErrTooLarge)
	}
}
