// Command 1 shows that a request that may run once runs twice. A leaf that is full refuses the
// request, and sends this refusal a second time a moment later. The node has sent the request again
// on the same connection meanwhile, and takes the second copy for the answer to that.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"sync"
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

// The deployment: eight nodes in front of five services of two leaves each. A leaf has two slots and
// accepts 26 connections, as on the sheet of the site, and queues two requests more.
const (
	nodeCount      = 8
	serviceCount   = 5
	leafCount      = 2 * serviceCount
	slots          = 2
	queue          = 2
	work           = 15 * time.Millisecond
	maxConnections = 26
	host           = "quotes.example"
	timeout        = 1500 * time.Millisecond
)

// serviceName and prefixOf name a service and the paths of its route.
func serviceName(number int) string { return fmt.Sprintf("filing-%d", number) }

func prefixOf(number int) string { return fmt.Sprintf("/file-%d/", number) }

var (
	rate    = flag.Float64("rate", 1250, "requests per second at all nodes together")
	length  = flag.Duration("length", 70*time.Second, "length of the traffic")
	share   = flag.Float64("x", 0.03, "share of the answers that are sent twice")
	minLate = flag.Duration("min-late", 8*time.Millisecond, "shortest delay of the second copy")
	maxLate = flag.Duration("max-late", 30*time.Millisecond, "longest delay of the second copy")
	trouble = flag.Bool("trouble", true, "whether answers are sent twice")
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

// world holds what the case observes.
type world struct {
	record *lab.Record
	mutex  sync.Mutex
	runs   map[string]int // by id
	status map[string]int // by id; 0 for a connection that ended without an answer
	extra  int            // answers that were sent twice
}

// The fault: six of the ten leaves send some answers twice, in spells of 5 s with pauses in between.
const (
	garbledLeaves = 6
	spellLength   = 5 * time.Second
	spellPeriod   = 6 * time.Second
)

// surplus is lab.LeafConfig.Surplus of the leaf that sends answers twice.
func (w *world) surplus() (time.Duration, bool) {
	if !*trouble || w.record.Since()%spellPeriod >= spellLength || rand.Float64() >= *share {
		return 0, false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.extra++
	return *minLate + rand.N(*maxLate-*minLate), true
}

func (w *world) onRun(id string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[id]++
}

func play(record *lab.Record) (int, error) {
	directory, err := os.MkdirTemp("", "micaplank-review")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	w := &world{record: record, runs: make(map[string]int), status: make(map[string]int)}
	store := platformtest.NewStore()
	defer store.Close()
	for index := range leafCount {
		config := lab.LeafConfig{
			ID: fmt.Sprintf("leaf-%d", index), Service: serviceName(index % serviceCount), Zone: "a", Slots: slots, Queue: queue, Work: work, OnRun: w.onRun,
		}
		if index < garbledLeaves {
			config.Surplus = w.surplus
		}
		leaf, err := lab.StartLeaf(config, record)
		if err != nil {
			return 0, err
		}
		defer leaf.Close()
		store.Put(leaf.Key(), leaf.Entry("ready"))
	}
	store.Put("op/config", configuration())
	var nodes []*lab.Node
	for index := range nodeCount {
		node, err := lab.StartNode(lab.NodeConfig{Name: fmt.Sprintf("edge-a-%d", index), Zone: "a", Store: store.Address(), Directory: directory})
		if err != nil {
			return 0, err
		}
		defer node.Kill()
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		if err := node.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	w.sendTraffic(nodes)
	return w.judge(), nil
}

func configuration() map[string]any {
	var routes, services []map[string]any
	for number := range serviceCount {
		routes = append(routes, map[string]any{
			"name": serviceName(number), "host": host, "path_prefix": prefixOf(number), "route_type": "non_idempotent",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "service": serviceName(number), "max_attempts": 2,
		})
		services = append(services, map[string]any{"name": serviceName(number), "max_conns": maxConnections})
	}
	return map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 4096, "max_body_bytes": 1024, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// sendTraffic sends requests at random moments to nodes and services at random, and waits for their
// ends.
func (w *world) sendTraffic(nodes []*lab.Node) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	var group sync.WaitGroup
	next := time.Now()
	end := next.Add(*length)
	for number := 0; next.Before(end); number++ {
		node, prefix := nodes[rand.IntN(len(nodes))], prefixOf(rand.IntN(serviceCount))
		id := fmt.Sprintf("%08x", number)
		group.Go(func() { w.send(client, node, prefix, id) })
		next = next.Add(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
	group.Wait()
}

func (w *world) send(client *http.Client, node *lab.Node, prefix, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.Front+prefix+id, bytes.NewReader([]byte("quote "+id)))
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	w.record.Printf("client sends %s", id)
	status := 0
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if err == nil {
		status = response.StatusCode
		w.record.Printf("client gets %d for %s", status, id)
	} else {
		w.record.Printf("client gets no answer for %s: %v", id, err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.status[id] = status
}

// judge writes the summary and returns the exit code.
func (w *world) judge() int {
	time.Sleep(2 * time.Second) // for requests that still run
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var twice, refused []string
	answered := 0
	for id, status := range w.status {
		if w.runs[id] > 1 {
			twice = append(twice, id)
		}
		if promisesNotRun(status) && w.runs[id] > 0 {
			refused = append(refused, id)
		}
		if status == http.StatusOK {
			answered++
		}
	}
	sort.Strings(twice)
	sort.Strings(refused)
	w.record.Printf("%d requests, %d answered with 200, %d answers sent a second time", len(w.status), answered, w.extra)
	w.record.Printf("TWICE: %d requests ran two or more times: %v", len(twice), twice)
	w.record.Printf("REFUSED: %d requests were refused and ran: %v", len(refused), refused)
	if len(twice)+len(refused) > 0 {
		return exitBroken
	}
	return exitHeld
}

// promisesNotRun reports whether a status says that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
