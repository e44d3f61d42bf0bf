// Command 3 shows that a planned stop cuts off requests. A node that has got SIGTERM goes on to take
// requests from kept connections for 3.5 s, and lets what it has taken wait for a leaf up to the
// deadline of the request. The platform kills it after grace_s, 6 s: requests that still wait in the
// node, and those that came late and are at work, end with the process.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
	"github.com/micaplank/micaplank/review/lab"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The deployment: three nodes, and a service whose requests take three seconds, of the eight that
// clients and operators allow.
const (
	nodeCount = 3
	leafCount = 6
	slots     = 8
	work      = 3 * time.Second
	deadline  = 8 * time.Second
	service   = "archive"
	host      = "quotes.example"
	prefix    = "/archive/"
)

// The clients of each node. Each keeps its connection, and lets it rest between two requests for at
// most four fifths of idle_timeout_ms.
const (
	clientsPerNode = 45
	idleTimeout    = 15 * time.Second
	minRest        = 1 * time.Second
	maxRest        = 12 * time.Second
)

// The planned stops, one node after the other: SIGTERM, and SIGKILL after grace. A request may end
// without an answer if a leaf works on it in the last sixth of grace, and it was sent no later than
// excusedUntil after the SIGTERM. One that was read and not passed on may end so within lossSlack.
const (
	grace        = 6 * time.Second
	excusedUntil = 3 * time.Second
	lossSlack    = 200 * time.Millisecond
	quietBefore  = 13 * time.Second
	betweenStops = 9 * time.Second
)

var (
	trouble = flag.Bool("trouble", true, "whether a node is stopped")
	path    = flag.String("record", "record.txt", "path of the record")
)

func main() { os.Exit(run()) }

func run() int {
	flag.Parse()
	lab.KillNodesOnSignal(exitNotRun)
	record, err := lab.NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	code, err := play(record)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// request is what the case observes of one request. Times are since the start of the case.
type request struct {
	id            string
	node          int
	sent, arrived time.Duration // arrived is zero if it did not reach a leaf
	ended         time.Duration
	status        int // 0 if the connection ended without a complete answer
	errorDescr    string
}

// nodeSlot is the place of a node, which another process takes after a stop.
type nodeSlot struct {
	config lab.NodeConfig
	node   *lab.Node
	// terminated is when the node got SIGTERM, since the start of the case; zero before.
	terminated time.Duration
	// stopping is set from the SIGTERM until another process is ready.
	stopping bool
}

// world holds what the case observes.
type world struct {
	record *lab.Record
	stop   chan struct{} // closed when clients send nothing more

	mutex    sync.Mutex
	slots    []*nodeSlot
	requests []*request
	byID     map[string]*request
}

func play(record *lab.Record) (int, error) {
	directory, err := os.MkdirTemp("", "micaplank-review")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	w := &world{record: record, stop: make(chan struct{}), byID: make(map[string]*request)}
	store := platformtest.NewStore()
	defer store.Close()
	for index := range leafCount {
		leaf, err := lab.StartLeaf(lab.LeafConfig{
			ID: fmt.Sprintf("leaf-%d", index), Service: service, Zone: "a", Slots: slots, Queue: 8, Work: work, OnArrival: w.onArrival,
		}, record)
		if err != nil {
			return 0, err
		}
		defer leaf.Close()
		store.Put(leaf.Key(), leaf.Entry("ready"))
	}
	store.Put("op/config", configuration())
	defer w.killNodes()
	for index := range nodeCount {
		config := lab.NodeConfig{Name: fmt.Sprintf("edge-a-%d", index), Zone: "a", Store: store.Address(), Directory: directory}
		node, err := lab.StartNode(config)
		if err != nil {
			return 0, err
		}
		w.slots = append(w.slots, &nodeSlot{config: config, node: node})
	}
	for _, slot := range w.slots {
		if err := slot.node.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	var clients sync.WaitGroup
	for number := range clientsPerNode * nodeCount {
		clients.Go(func() { w.runClient(number, number%nodeCount) })
	}
	time.Sleep(quietBefore)
	for index := range nodeCount {
		if err := w.stopNode(index); err != nil {
			return 0, err
		}
		time.Sleep(betweenStops)
	}
	close(w.stop)
	clients.Wait()
	return w.judge(), nil
}

func (w *world) killNodes() {
	for _, slot := range w.slots {
		slot.node.Kill()
	}
}

// stopNode stops a node as the platform does, and starts another process in its place.
func (w *world) stopNode(index int) error {
	slot := w.slots[index]
	if !*trouble {
		time.Sleep(grace)
		return nil
	}
	w.mutex.Lock()
	slot.terminated, slot.stopping = w.record.Since(), true
	w.mutex.Unlock()
	w.record.Printf("node %d gets SIGTERM", index)
	if err := slot.node.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(grace)
	w.record.Printf("node %d gets SIGKILL", index)
	slot.node.Kill()
	node, err := lab.StartNode(slot.config)
	if err != nil {
		return err
	}
	if err := node.AwaitReady(15 * time.Second); err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	slot.node, slot.stopping = node, false
	return nil
}

func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "archive", "host": host, "path_prefix": prefix, "route_type": "non_idempotent", "timeout_ms": deadline.Milliseconds(),
			"target_latency_ms": 4000, "priority": 1, "service": service, "max_attempts": 2,
		}},
		"services": []map[string]any{{"name": service, "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 1024, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	}
}

func (w *world) onArrival(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byID[id].arrived = w.record.Since()
}

// runClient sends requests to a node, over one connection as long as the node keeps it. While the
// node is stopped, the platform gives such a client to another node, which is of no interest here.
func (w *world) runClient(number, index int) {
	for sequence := 0; w.rest(0, maxRest/4); {
		w.mutex.Lock()
		front, stopping := w.slots[index].node.Front, w.slots[index].stopping
		w.mutex.Unlock()
		if stopping {
			continue
		}
		conn, err := net.Dial("tcp", front)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for keep := true; keep; sequence++ {
			keep = w.exchange(conn, reader, index, fmt.Sprintf("%03d-%02d", number, sequence)) && w.rest(minRest, maxRest)
		}
		_ = conn.Close()
	}
}

// rest waits for a random time. It reports whether clients still send.
func (w *world) rest(shortest, longest time.Duration) bool {
	select {
	case <-time.After(shortest + rand.N(longest-shortest)):
		return true
	case <-w.stop:
		return false
	}
}

// exchange sends one request and reads its answer. It reports whether the connection stays open.
func (w *world) exchange(conn net.Conn, reader *bufio.Reader, node int, id string) bool {
	sent := &request{id: id, node: node, sent: w.record.Since()}
	w.mutex.Lock()
	w.requests = append(w.requests, sent)
	w.byID[id] = sent
	w.mutex.Unlock()
	body := "quote " + id
	_, err := fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, id, deadline.Milliseconds(), len(body), body)
	keep := false
	if err == nil {
		sent.status, keep, err = readAnswer(reader)
	}
	sent.ended = w.record.Since()
	if err != nil {
		sent.errorDescr = err.Error()
	}
	return keep
}

// readAnswer reads one answer and reports whether the connection stays open.
func readAnswer(reader *bufio.Reader) (status int, keep bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, !response.Close, nil
}

// judge writes what became of each request and returns the exit code.
func (w *world) judge() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	answered, lost := 0, 0
	for _, r := range w.requests {
		w.record.Printf("%s at node %d sent at %.3f, reached a leaf at %.3f, ended at %.3f with status %d %s",
			r.id, r.node, r.sent.Seconds(), r.arrived.Seconds(), r.ended.Seconds(), r.status, r.errorDescr)
		switch {
		case r.status != 0:
			answered++
		case w.isLost(r):
			lost++
			w.record.Printf("LOST: %s was sent %.3f s after the SIGTERM, %s, and its connection ended without an answer %.3f s later; its client waits %v",
				r.id, (r.sent - w.slots[r.node].terminated).Seconds(), r.progress(), (r.ended - r.sent).Seconds(), deadline)
		}
	}
	w.record.Printf("%d requests, %d answered, %d lost", len(w.requests), answered, lost)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}

// progress says how far a request came.
func (r *request) progress() string {
	if r.arrived == 0 {
		return "waited in the node"
	}
	return "was passed on to a leaf"
}

// isLost reports whether a request without an answer counts. The leaves break off nothing.
func (w *world) isLost(r *request) bool {
	waited := r.ended - r.sent
	switch {
	case waited >= deadline:
		return false
	case r.arrived == 0:
		return waited > lossSlack
	}
	// A leaf works on a request, or holds it in its queue, until the connection ends.
	lastSixth := w.slots[r.node].terminated + grace*5/6
	excused := r.ended > lastSixth && r.sent-w.slots[r.node].terminated <= excusedUntil
	return !excused
}
