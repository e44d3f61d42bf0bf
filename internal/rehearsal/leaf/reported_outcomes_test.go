package leaf

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	protocol "github.com/micaplank/micaplank/internal/leaf"
)

// cuttingProxy passes connections on to a leaf and cuts each after a random
// number of bytes in one of the directions.
type cuttingProxy struct {
	listener net.Listener
	target   netip.AddrPort
	running  sync.WaitGroup
}

func startCuttingProxy(t *testing.T, target netip.AddrPort, seed uint64) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &cuttingProxy{listener: listener, target: target}
	p.running.Go(func() { p.accept(rand.New(rand.NewPCG(seed, seed))) })
	return p
}

func (p *cuttingProxy) accept(random *rand.Rand) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target.String())
		if err != nil {
			near.Close()
			continue
		}
		const longest = 4000
		requests, replies := random.Int64N(longest), random.Int64N(longest)
		p.running.Go(func() { pass(far, near, requests) })
		p.running.Go(func() { pass(near, far, replies) })
	}
}

// pass copies up to so many bytes, then closes both ends.
func pass(to, from net.Conn, bytes int64) {
	io.CopyN(to, from, bytes)
	to.Close()
	from.Close()
}

func (p *cuttingProxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *cuttingProxy) close() {
	p.listener.Close()
	p.running.Wait()
}

// claim is what a caller was told about one attempt.
type claim string

const (
	claimExecuted claim = "executed"
	claimNotRun   claim = "not run"
	claimUnknown  claim = "unknown"
)

func claimOf(response *protocol.ExecuteResponse, err error) claim {
	var transportError *protocol.TransportError
	switch {
	case err == nil && response.Executed:
		return claimExecuted
	case err == nil:
		return claimNotRun
	case errors.As(err, &transportError) && !transportError.Sent:
		return claimNotRun
	default:
		return claimUnknown
	}
}

// TestClaimsAgreeWithTheExecutionLog sends inserts over connections that are
// cut at random, cancels some, loses replies and drains at the end. What the
// callers are told must be true by the leaf's log.
func TestClaimsAgreeWithTheExecutionLog(t *testing.T) {
	const seed, callers, calls = 7, 8, 60
	config := testConfig()
	config.Slots, config.Queue = 2, 3
	config.Insert = ServiceTime{Median: Duration(time.Millisecond), Sigma: 1}
	server, _ := startTestLeaf(t, config)
	proxy := startCuttingProxy(t, server.Address(), seed)
	client := protocol.New(protocol.Config{RedialMinimum: time.Millisecond, RedialMaximum: 4 * time.Millisecond}, nil)
	claims := make([]map[string]claim, callers)
	var running sync.WaitGroup
	for caller := range callers {
		claims[caller] = make(map[string]claim)
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		running.Go(func() {
			for i := range calls {
				id := fmt.Sprintf("%d-%d", caller, i)
				claims[caller][id] = insertOnce(proxy.address(), client, id, random)
			}
		})
	}
	for range 10 {
		time.Sleep(5 * time.Millisecond)
		server.faults.update(func(faults *Faults) { faults.LoseReply = 1 })
	}
	running.Wait()
	client.Close()
	proxy.close()
	if err := server.Drain(testContext(t)); err != nil {
		t.Fatal(err)
	}
	checkClaims(t, server, claims)
}

func insertOnce(address netip.AddrPort, client *protocol.Client, id string, random *rand.Rand) claim {
	timeout := time.Second
	if random.IntN(4) == 0 {
		timeout = time.Duration(random.IntN(2000)) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := testRequest(id, fmt.Sprintf("insert into rate-desk (quote) values ('%s')", id))
	return claimOf(client.Execute(ctx, address, request))
}

func checkClaims(t *testing.T, server *Server, claims []map[string]claim) {
	executed, records := make(map[string]int), make(map[string]int)
	for _, execution := range server.Executions().Executions {
		records[execution.RequestID]++
		if execution.Outcome == OutcomeExecuted {
			executed[execution.RequestID]++
		}
	}
	counts := make(map[claim]int)
	for _, made := range claims {
		for id, claim := range made {
			counts[claim]++
			switch {
			case records[id] > 1:
				t.Errorf("%s arrived %d times", id, records[id])
			case claim == claimExecuted && executed[id] != 1:
				t.Errorf("%s is said to be executed, the log has it %d times", id, executed[id])
			case claim == claimNotRun && executed[id] != 0:
				t.Errorf("%s is said not to have run, the log has it", id)
			}
		}
	}
	t.Logf("claims %v, %d arrivals, %d executed", counts, len(records), len(executed))
	for _, claim := range []claim{claimExecuted, claimNotRun, claimUnknown} {
		if counts[claim] == 0 {
			t.Errorf("no call was %s: the faults do not cover it", claim)
		}
	}
}
