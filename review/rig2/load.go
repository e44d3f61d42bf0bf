package rig2

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
)

// clientWaits is how long a client waits for an answer.
const clientWaits = 1500 * time.Millisecond

// Load sends requests to nodes, and records them and their answers.
type Load struct {
	Case *Case
	// Target returns the path of a node's request by its number. Once is set if the requests may run
	// once only.
	Target func(number int) string
	Once   bool
	// Pause is the time between two requests to one node.
	Pause time.Duration

	clients  []*platformtest.Client
	mutex    sync.Mutex
	statuses map[int]int // answers by status, zero without an answer
	cancel   context.CancelFunc
	senders  sync.WaitGroup
}

// Add adds a node that gets requests.
func (l *Load) Add(node *Node) {
	l.clients = append(l.clients, platformtest.NewClient(node.Spec.FrontAddress()))
}

// Start sends requests to all nodes until Stop is called.
func (l *Load) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for index, client := range l.clients {
		l.senders.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				l.senders.Go(func() { l.send(client, l.Target(number), fmt.Sprintf("n%d-%d", index, number)) })
				time.Sleep(l.Pause)
			}
		})
	}
}

// Stop ends the requests and waits for their answers.
func (l *Load) Stop() {
	l.cancel()
	l.senders.Wait()
}

func (l *Load) send(client *platformtest.Client, target, id string) {
	method, body := http.MethodGet, []byte(nil)
	if l.Once {
		method, body = http.MethodPost, []byte("filed")
	}
	l.Case.Note("send %s %s", id, target)
	reply, err := client.Send(context.Background(), method, target, id, clientWaits, body)
	l.Case.Note("answer %s: status %d, error %v", id, reply.Status, err)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.statuses == nil {
		l.statuses = make(map[int]int)
	}
	l.statuses[reply.Status]++
}

// Statuses returns the number of answers by status, after Stop; zero stands for no answer.
func (l *Load) Statuses() map[int]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.statuses)
}
