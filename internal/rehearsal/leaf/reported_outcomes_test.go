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

// faultyProxy forwards connections to a leaf and closes each after a random number of bytes in
// either direction.
type faultyProxy struct {
	listener   net.Listener
	target     netip.AddrPort
	goroutines sync.WaitGroup
}

func startFaultyProxy(t *testing.T, target netip.AddrPort, seed uint64) *faultyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultyProxy{listener: listener, target: target}
	p.goroutines.Go(func() { p.accept(rand.New(rand.NewPCG(seed, seed))) })
	return p
}

func (p *faultyProxy) accept(random *rand.Rand) {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target.String())
		if err != nil {
			downstream.Close()
			continue
		}
		const maximumBytes = 4000
		requests, replies := random.Int64N(maximumBytes), random.Int64N(maximumBytes)
		p.goroutines.Go(func() { copyAndClose(upstream, downstream, requests) })
		p.goroutines.Go(func() { copyAndClose(downstream, upstream, replies) })
	}
}

// copyAndClose copies up to the given number of bytes and then closes both connections.
func copyAndClose(to, from net.Conn, bytes int64) {
	io.CopyN(to, from, bytes)
	to.Close()
	from.Close()
}

func (p *faultyProxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *faultyProxy) close() {
	p.listener.Close()
	p.goroutines.Wait()
}

// reportedOutcome is the outcome of an attempt as the client reported it to the caller.
type reportedOutcome string

const (
	reportedExecuted reportedOutcome = "executed"
	reportedNotRun   reportedOutcome = "not run"
	reportedUnknown  reportedOutcome = "unknown"
)

func classifyReply(response *protocol.ExecuteResponse, err error) reportedOutcome {
	var transportError *protocol.TransportError
	switch {
	case err == nil && response.Executed:
		return reportedExecuted
	case err == nil:
		return reportedNotRun
	case errors.As(err, &transportError) && !transportError.Sent:
		return reportedNotRun
	default:
		return reportedUnknown
	}
}

// TestReportedOutcomesMatchExecutionLog sends inserts over connections that close at random,
// cancels some, loses replies and drains the leaf at the end. The outcomes that the client reports
// must agree with the execution log of the leaf.
func TestReportedOutcomesMatchExecutionLog(t *testing.T) {
	const seed, callers, calls = 7, 8, 60
	config := testConfig()
	config.Slots, config.Queue = 2, 3
	config.Insert = ServiceTime{Median: Duration(time.Millisecond), Sigma: 1}
	server, _ := startTestLeaf(t, config)
	proxy := startFaultyProxy(t, server.Address(), seed)
	client := protocol.New(protocol.Config{RedialMinimum: time.Millisecond, RedialMaximum: 4 * time.Millisecond}, nil)
	reported := make([]map[string]reportedOutcome, callers)
	var running sync.WaitGroup
	for caller := range callers {
		reported[caller] = make(map[string]reportedOutcome)
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		running.Go(func() {
			for i := range calls {
				id := fmt.Sprintf("%d-%d", caller, i)
				reported[caller][id] = insertOnce(proxy.address(), client, id, random)
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
	checkReportedOutcomes(t, server, reported)
}

func insertOnce(address netip.AddrPort, client *protocol.Client, id string, random *rand.Rand) reportedOutcome {
	timeout := time.Second
	if random.IntN(4) == 0 {
		timeout = time.Duration(random.IntN(2000)) * time.Microsecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request := testRequest(id, fmt.Sprintf("insert into rate-desk (quote) values ('%s')", id))
	return classifyReply(client.Execute(ctx, address, request))
}

func checkReportedOutcomes(t *testing.T, server *Server, reported []map[string]reportedOutcome) {
	executed, arrivals := make(map[string]int), make(map[string]int)
	for _, execution := range server.Executions().Executions {
		arrivals[execution.RequestID]++
		if execution.Outcome == OutcomeExecuted {
			executed[execution.RequestID]++
		}
	}
	counts := make(map[reportedOutcome]int)
	for _, byID := range reported {
		for id, outcome := range byID {
			counts[outcome]++
			switch {
			case arrivals[id] > 1:
				t.Errorf("request %s: got %d arrivals, want at most 1", id, arrivals[id])
			case outcome == reportedExecuted && executed[id] != 1:
				t.Errorf("request %s was reported as executed: got %d executions in the log, want 1", id, executed[id])
			case outcome == reportedNotRun && executed[id] != 0:
				t.Errorf("request %s was reported as not run: got %d executions in the log, want 0", id, executed[id])
			}
		}
	}
	t.Logf("reported outcomes %v, %d arrivals, %d executed", counts, len(arrivals), len(executed))
	for _, outcome := range []reportedOutcome{reportedExecuted, reportedNotRun, reportedUnknown} {
		if counts[outcome] == 0 {
			t.Errorf("got no call with the reported outcome %q, want at least 1", outcome)
		}
	}
}
