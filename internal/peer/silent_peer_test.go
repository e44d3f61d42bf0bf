package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/peer"
)

// pausableProxy forwards TCP connections to a server and can stop to forward, like a server whose
// process is stopped: the connections stay open and nothing arrives.
type pausableProxy struct {
	listener net.Listener
	target   string

	mutex   sync.Mutex
	resumed chan struct{} // closed while the proxy forwards
	conns   []net.Conn
}

func startProxy(t *testing.T, target netip.AddrPort) *pausableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &pausableProxy{listener: listener, target: target.String(), resumed: make(chan struct{})}
	close(proxy.resumed)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { proxy.accept(&goroutines) })
	t.Cleanup(func() {
		_ = listener.Close()
		proxy.closeConns()
		proxy.resume()
		goroutines.Wait()
	})
	return proxy
}

func (p *pausableProxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

func (p *pausableProxy) accept(goroutines *sync.WaitGroup) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mutex.Lock()
		p.conns = append(p.conns, client, server)
		p.mutex.Unlock()
		goroutines.Go(func() { p.forward(server, client) })
		goroutines.Go(func() { p.forward(client, server) })
	}
}

func (p *pausableProxy) forward(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		p.waitResumed()
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			return
		}
	}
}

func (p *pausableProxy) waitResumed() {
	p.mutex.Lock()
	resumed := p.resumed
	p.mutex.Unlock()
	<-resumed
}

func (p *pausableProxy) pause() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.resumed = make(chan struct{})
}

// resume forwards again what has arrived. It does nothing if the proxy is not paused.
func (p *pausableProxy) resume() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

func (p *pausableProxy) closeConns() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// TestSilentPeerKeepsCallsThatMustNotBeRepeated guards against giving up a request that may run at
// most once because another call on its connection got no response: the peer is only slow, and its
// response arrives before the deadline of the request.
func TestSilentPeerKeepsCallsThatMustNotBeRepeated(t *testing.T) {
	server, started, release := startServer(t)
	proxy := startProxy(t, server.Address())
	client := newClient(t, peer.ClientOptions{})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	var calls sync.WaitGroup
	var onceErr, repeatableErr error
	onceResponse, repeatableDone := echoResponse{}, make(chan struct{})
	calls.Go(func() {
		onceErr = client.CallOnce(ctx, proxy.address(), "hold", &echoRequest{Number: 1}, &onceResponse, time.Now().Add(10*time.Second))
	})
	calls.Go(func() {
		defer close(repeatableDone)
		repeatableErr = client.Call(ctx, proxy.address(), "hold", &echoRequest{Number: 2}, &echoResponse{})
	})
	<-started
	<-started

	proxy.pause()
	abandoned, abandon := context.WithTimeout(ctx, 800*time.Millisecond)
	defer abandon()
	if err := client.Call(abandoned, proxy.address(), "echo", &echoRequest{}, &echoResponse{}); err == nil {
		t.Fatal("got a response through a paused connection, want none")
	}
	<-repeatableDone
	if !errors.Is(repeatableErr, peer.ErrConnectionLost) {
		t.Errorf("call that can be repeated: got error %v, want %v", repeatableErr, peer.ErrConnectionLost)
	}
	proxy.resume()
	if err := client.Call(ctx, proxy.address(), "echo", &echoRequest{Number: 3}, &echoResponse{}); err != nil {
		t.Errorf("call after the silence: got error %v, want none", err)
	}
	close(release)
	calls.Wait()
	if onceErr != nil || onceResponse.Number != 1 {
		t.Errorf("call that must not be repeated: got number %d and error %v, want 1", onceResponse.Number, onceErr)
	}
}
