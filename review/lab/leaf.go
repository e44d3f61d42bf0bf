package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LeafConfig describes a leaf.
type LeafConfig struct {
	ID, Service, Zone string
	// Slots is the number of requests that it works on at a time, and Queue how many more wait.
	Slots, Queue int
	// Work is how long it works on a request.
	Work time.Duration
	// Surplus decides, for each answer, whether the leaf sends that answer a second time, and how
	// much later. It may be nil.
	Surplus func() (later time.Duration, send bool)
	// OnArrival is called when a request has arrived, and OnRun when the leaf begins to work on it.
	// Both may be nil.
	OnArrival, OnRun func(id string)
}

// Leaf is a stand-in of one leaf. It serves one request at a time on a connection. It refuses a
// request, with proof that it did not run it, when it is full, when the request's time is over while
// it waits, and when the request names another leaf.
type Leaf struct {
	config   LeafConfig
	record   *Record
	listener net.Listener
	started  time.Time
	slots    chan struct{}

	mutex   sync.Mutex
	waiting int
	conns   map[net.Conn]bool
}

// StartLeaf starts a leaf on a free port.
func StartLeaf(config LeafConfig, record *Record) (*Leaf, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	l := &Leaf{
		config: config, record: record, listener: listener, started: time.Now(),
		slots: make(chan struct{}, config.Slots), conns: make(map[net.Conn]bool),
	}
	go l.accept()
	return l, nil
}

// Entry returns the leaf's entry in the store.
func (l *Leaf) Entry(state string) map[string]any {
	return map[string]any{
		"service": l.config.Service, "address": l.listener.Addr().String(), "zone": l.config.Zone,
		"version": "v1", "slots": l.config.Slots, "state": state, "cold_left_ms": 0, "call_seq": 0,
		"born": l.started.UnixMilli(),
	}
}

// Key returns the key of the leaf's entry.
func (l *Leaf) Key() string { return "servers/" + l.config.ID }

// Close ends the leaf.
func (l *Leaf) Close() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *Leaf) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mutex.Lock()
		l.conns[conn] = true
		l.mutex.Unlock()
		go l.serve(conn)
	}
}

// serve answers the requests of one connection, one after the other.
func (l *Leaf) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		l.mutex.Lock()
		delete(l.conns, conn)
		l.mutex.Unlock()
	}()
	writer := &answerWriter{conn: conn}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := l.handle(request)
		writer.write(answer)
		if l.config.Surplus == nil {
			continue
		}
		if later, send := l.config.Surplus(); send {
			id := request.Header.Get("X-Attempt-Id")
			time.AfterFunc(later, func() {
				l.record.Printf("leaf %s sends its answer to %s a second time", l.config.ID, id)
				writer.write(answer)
			})
		}
	}
}

// answerWriter writes whole answers to a connection.
type answerWriter struct {
	mutex sync.Mutex
	conn  net.Conn
}

func (w *answerWriter) write(answer string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = io.WriteString(w.conn, answer) // fails if the node has closed the connection
}

// handle returns the answer to a request.
func (l *Leaf) handle(request *http.Request) string {
	id := request.Header.Get("X-Attempt-Id")
	if l.config.OnArrival != nil {
		l.config.OnArrival(id)
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != l.config.ID {
		return l.refuse(id, http.StatusMisdirectedRequest, "another leaf")
	}
	deadlineMS, err := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadlineMS = 60_000
	}
	if !l.enter() {
		return l.refuse(id, http.StatusServiceUnavailable, "full")
	}
	timer := time.NewTimer(time.Duration(deadlineMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case l.slots <- struct{}{}:
		l.leaveQueue()
	case <-timer.C:
		l.leaveQueue()
		return l.refuse(id, http.StatusServiceUnavailable, "waited too long")
	}
	defer func() { <-l.slots }()
	l.record.Printf("leaf %s runs %s", l.config.ID, id)
	if l.config.OnRun != nil {
		l.config.OnRun(id)
	}
	time.Sleep(l.config.Work)
	return l.answer(http.StatusOK, id, "X-Server-Stamp: "+l.config.ID+"."+id+"\r\n", "the whole record of "+id)
}

// enter takes a place in the queue, if one is free.
func (l *Leaf) enter() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.waiting+len(l.slots) >= l.config.Slots+l.config.Queue {
		return false
	}
	l.waiting++
	return true
}

func (l *Leaf) leaveQueue() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waiting--
}

// refuse returns an answer that proves that the request did not run.
func (l *Leaf) refuse(id string, status int, reason string) string {
	l.record.Printf("leaf %s refuses %s with %d: %s", l.config.ID, id, status, reason)
	return l.answer(status, id, "X-Not-Executed: 1\r\n", "")
}

func (l *Leaf) answer(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nX-Server-Load: %d,0,%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, l.config.ID, len(l.slots), l.config.Slots, headers, len(body), body)
}
