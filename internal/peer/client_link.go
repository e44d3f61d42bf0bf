package peer

import (
	"sync"
	"time"
)

// clientLink is one connection to a peer with the calls that run on it.
type clientLink struct {
	client *Client
	key    slotKey
	// ready is closed once the connection stands or has failed; link and
	// failure are set before and constant afterwards.
	ready   chan struct{}
	link    *link
	failure *Error

	mutex   sync.Mutex
	waiters map[uint64]*waiter // of calls without a response yet
	calls   int                // that have not ended; some have their response
	last    uint64
	lost    bool
	leaving bool // the peer is draining, or the link is idle: no new calls
	used    time.Time
	idle    *time.Timer
	silence silence
}

func newClientLink(client *Client, key slotKey) *clientLink {
	return &clientLink{
		client:  client,
		key:     key,
		ready:   make(chan struct{}),
		waiters: map[uint64]*waiter{},
		used:    time.Now(),
	}
}

// run opens the connection and reads from it until it ends.
func (l *clientLink) run() {
	defer l.client.links.Done()
	connection, failure := l.client.dial(l.key.peer)
	if failure != nil {
		l.failure = failure
		l.client.forget(l)
		close(l.ready)
		return
	}
	metrics := l.client.metrics
	sent := metrics.bytes.WithLabelValues("sent")
	received := metrics.bytes.WithLabelValues("received")
	l.link = newLink(connection,
		func(bytes int) { sent.Add(float64(bytes)) },
		func(bytes int) { received.Add(float64(bytes)) })
	metrics.connections.Inc()
	close(l.ready)
	l.watchIdle(l.client.options.IdleTimeout)
	err := l.read()
	l.client.forget(l)
	l.link.close()
	l.link.writer.Wait()
	l.failAll(err)
	metrics.connections.Dec()
}

// shut closes an established link. The client's dial context ends the others.
func (l *clientLink) shut() {
	select {
	case <-l.ready:
		if l.link != nil {
			l.link.close()
		}
	default:
	}
}

// closeIfIdle closes the link if it has had no call for the idle timeout.
func (l *clientLink) closeIfIdle() {
	timeout := l.client.options.IdleTimeout
	l.mutex.Lock()
	rest := timeout - time.Since(l.used)
	idle := l.calls == 0 && rest <= 0
	if idle {
		l.leaving = true
	}
	l.mutex.Unlock()
	if idle {
		l.link.close()
		return
	}
	l.watchIdle(max(rest, timeout/4))
}

func (l *clientLink) watchIdle(after time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.lost {
		l.idle = time.AfterFunc(after, l.closeIfIdle)
	}
}

// closeIfSilent ends the connection if it has gone silent, by the wait of a call
// that has been given up: no other call on it would get an answer.
func (l *clientLink) closeIfSilent(begun time.Time) {
	l.mutex.Lock()
	silent := l.silence.waited(begun, time.Now())
	l.mutex.Unlock()
	if !silent {
		return
	}
	l.client.metrics.silent.Inc()
	l.client.forget(l)
	l.link.close()
}

// closeIfLeft closes the link once its last call has ended, if it takes no new
// ones: a peer that drains waits for that.
func (l *clientLink) closeIfLeft() {
	if l.leaving && l.calls == 0 {
		l.link.close()
	}
}
