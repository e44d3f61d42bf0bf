package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// WatchKind says what a WatchEvent reports.
type WatchKind string

// The kinds of watch events.
const (
	// WatchPut and WatchDelete: the key of Entry was written or deleted at
	// Entry.ModRevision.
	WatchPut    WatchKind = "put"
	WatchDelete WatchKind = "delete"
	// WatchProgress: every change up to StoreRevision has been delivered.
	WatchProgress WatchKind = "progress"
	// WatchEnded: the stream is over and Err says why. It is the last event.
	WatchEnded WatchKind = "ended"
)

// WatchEvent is one message of a watch.
type WatchEvent struct {
	Kind  WatchKind
	Entry Entry
	// StoreRevision is the store's revision when it sent the message.
	StoreRevision int64
	// Err is set for WatchEnded: an *Error, wrapped, of kind KindCompacted,
	// KindCanceled, KindReplyLost or any kind that a call can fail with.
	Err error
}

// watchBuffer is how many events wait for the receiver before the stream is
// read no further.
const watchBuffer = 64

// Watch reports the changes of the keys from key up to end (only key if end is
// empty), from the revision fromRevision on; 0 means from now on. It blocks
// until the store has opened the watch. The channel ends with one WatchEnded
// event and is closed; the caller reconnects from the revision after the last
// one seen. The watch ends when ctx does; the caller must then either read the
// channel to its end or leave it.
//
// A connection that breaks silently is not noticed: pair a watch with a Range
// now and then.
func (c *Client) Watch(ctx context.Context, key, end string, fromRevision int64) (<-chan WatchEvent, error) {
	begun := time.Now()
	stream, err := c.openWatch(ctx, key, end, fromRevision)
	c.metrics.observe(StepWatch, err, time.Since(begun))
	if err != nil {
		return nil, err
	}
	events := make(chan WatchEvent, watchBuffer)
	go stream.run(events)
	return events, nil
}

// watchStream is the reading side of one open watch.
type watchStream struct {
	ctx      context.Context
	cancel   context.CancelFunc
	endpoint netip.AddrPort
	body     io.ReadCloser
	decoder  *json.Decoder
	metrics  *metrics
	revision int64
}

func (c *Client) openWatch(ctx context.Context, key, end string, fromRevision int64) (*watchStream, error) {
	opening, stopOpening := context.WithTimeout(ctx, c.config.Timeout)
	defer stopOpening()
	if err := c.wait(opening, StepWatch); err != nil {
		return nil, annotate(err.(*Error))
	}
	body, err := json.Marshal(wire.WatchRequest{Create: &wire.WatchCreateRequest{
		Key: []byte(key), RangeEnd: []byte(end), StartRevision: wire.Integer(fromRevision), ProgressNotify: true,
	}})
	if err != nil {
		return nil, annotate(&Error{Step: StepWatch, Kind: KindRefused, Cause: err})
	}
	streaming, cancel := context.WithCancel(ctx)
	stopTimer := context.AfterFunc(opening, cancel)
	stream, failure := c.startStream(streaming, body)
	if failure != nil {
		cancel()
		if ctx.Err() == nil && opening.Err() != nil {
			failure.Kind = KindTimeout
		}
		return nil, annotate(failure)
	}
	if !stopTimer() {
		cancel()
		stream.body.Close()
		return nil, annotate(&Error{Step: StepWatch, Peer: stream.endpoint.String(), Kind: KindTimeout, Cause: opening.Err()})
	}
	stream.cancel = cancel
	return stream, nil
}

// startStream posts the request and reads the message that confirms the watch.
func (c *Client) startStream(ctx context.Context, body []byte) (*watchStream, *Error) {
	var reply *http.Response
	reply, endpoint, failure := c.post(ctx, StepWatch, wire.WatchPath, body)
	if failure != nil {
		failure.MaybeApplied = false
		return nil, failure
	}
	stream := &watchStream{
		ctx: ctx, endpoint: endpoint, body: reply.Body, decoder: json.NewDecoder(reply.Body), metrics: c.metrics,
	}
	first, failure := stream.next()
	if failure == nil && !first.Created {
		failure = stream.fail(KindReplyLost, errors.New("the store did not confirm the watch"))
	}
	if failure != nil {
		reply.Body.Close()
		return nil, failure
	}
	return stream, nil
}

func (s *watchStream) run(events chan<- WatchEvent) {
	s.metrics.watches.Inc()
	defer s.metrics.watches.Dec()
	defer close(events)
	defer s.cancel()
	defer s.body.Close()
	for {
		message, failure := s.next()
		if failure != nil {
			s.deliverEnd(events, failure)
			return
		}
		if !s.deliver(events, message) {
			s.deliverEnd(events, s.fail(KindCanceled, s.ctx.Err()))
			return
		}
	}
}

// next reads one message and turns the ways in which a stream ends into errors.
func (s *watchStream) next() (*wire.WatchResponse, *Error) {
	var message wire.StreamMessage[wire.WatchResponse]
	if err := s.decoder.Decode(&message); err != nil {
		kind := KindReplyLost
		if s.ctx.Err() != nil {
			kind = KindCanceled
		}
		return nil, s.fail(kind, err)
	}
	if message.Error != nil {
		kind, _ := classify(message.Error.GRPCCode, message.Error.Message)
		return nil, s.fail(kind, errors.New(message.Error.Message))
	}
	if message.Result == nil {
		return nil, s.fail(KindReplyLost, errors.New("a message without a result"))
	}
	if message.Result.Canceled {
		return nil, s.canceled(message.Result)
	}
	return message.Result, nil
}

func (s *watchStream) canceled(result *wire.WatchResponse) *Error {
	failure := s.fail(KindCanceled, errors.New("the store cancelled the watch: "+result.CancelReason))
	if result.CompactRevision > 0 {
		failure.Kind = KindCompacted
		failure.CompactRevision = int64(result.CompactRevision)
	}
	return failure
}

func (s *watchStream) fail(kind Kind, cause error) *Error {
	return &Error{Step: StepWatch, Peer: s.endpoint.String(), Kind: kind, Cause: cause}
}

// deliver sends the events of a message to the receiver; it is false if ctx ended first.
func (s *watchStream) deliver(events chan<- WatchEvent, message *wire.WatchResponse) bool {
	s.revision = revisionOf(message.Header)
	if len(message.Events) == 0 {
		return s.send(events, WatchEvent{Kind: WatchProgress, StoreRevision: s.revision})
	}
	for _, event := range message.Events {
		kind := WatchPut
		if event.Type == wire.EventDelete {
			kind = WatchDelete
		}
		s.metrics.watchEvents.Inc()
		if !s.send(events, WatchEvent{Kind: kind, Entry: entryOf(event.KeyValue), StoreRevision: s.revision}) {
			return false
		}
	}
	return true
}

func (s *watchStream) send(events chan<- WatchEvent, event WatchEvent) bool {
	select {
	case events <- event:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// deliverEnd sends the last event, or drops it if there is no reader any more.
func (s *watchStream) deliverEnd(events chan<- WatchEvent, failure *Error) {
	end := WatchEvent{Kind: WatchEnded, StoreRevision: s.revision, Err: annotate(failure)}
	select {
	case events <- end:
	default:
		s.send(events, end)
	}
}
