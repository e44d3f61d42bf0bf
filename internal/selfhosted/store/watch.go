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
const watchBufferSize = 64

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
	start := time.Now()
	stream, err := c.openWatch(ctx, key, end, fromRevision)
	c.metrics.observe(StepWatch, err, time.Since(start))
	if err != nil {
		return nil, err
	}
	events := make(chan WatchEvent, watchBufferSize)
	go stream.run(events)
	return events, nil
}

// watchStream is the reading side of one open watch.
type watchStream struct {
	ctx          context.Context
	cancel       context.CancelFunc
	endpoint     netip.AddrPort
	body         io.ReadCloser
	decoder      *json.Decoder
	metrics      *metrics
	lastRevision int64
}

func (c *Client) openWatch(ctx context.Context, key, end string, fromRevision int64) (*watchStream, error) {
	openContext, cancelOpen := context.WithTimeout(ctx, c.config.Timeout)
	defer cancelOpen()
	if err := c.waitForToken(openContext, StepWatch); err != nil {
		return nil, wrapError(err.(*Error))
	}
	body, err := json.Marshal(wire.WatchRequest{Create: &wire.WatchCreateRequest{
		Key: []byte(key), RangeEnd: []byte(end), StartRevision: wire.Integer(fromRevision), ProgressNotify: true,
	}})
	if err != nil {
		return nil, wrapError(&Error{Step: StepWatch, Kind: KindRefused, Cause: err})
	}
	streamContext, cancelStream := context.WithCancel(ctx)
	stopTimer := context.AfterFunc(openContext, cancelStream)
	stream, failure := c.startStream(streamContext, body)
	if failure != nil {
		cancelStream()
		if ctx.Err() == nil && openContext.Err() != nil {
			failure.Kind = KindTimeout
		}
		return nil, wrapError(failure)
	}
	if !stopTimer() {
		cancelStream()
		stream.body.Close()
		return nil, wrapError(&Error{Step: StepWatch, Peer: stream.endpoint.String(), Kind: KindTimeout, Cause: openContext.Err()})
	}
	stream.cancel = cancelStream
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
	first, failure := stream.readMessage()
	if failure == nil && !first.Created {
		failure = stream.newError(KindReplyLost, errors.New("the store did not confirm the watch"))
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
		message, failure := s.readMessage()
		if failure != nil {
			s.sendEnd(events, failure)
			return
		}
		if !s.deliverMessage(events, message) {
			s.sendEnd(events, s.newError(KindCanceled, s.ctx.Err()))
			return
		}
	}
}

// next reads one message and turns the ways in which a stream ends into errors.
func (s *watchStream) readMessage() (*wire.WatchResponse, *Error) {
	var message wire.StreamMessage[wire.WatchResponse]
	if err := s.decoder.Decode(&message); err != nil {
		kind := KindReplyLost
		if s.ctx.Err() != nil {
			kind = KindCanceled
		}
		return nil, s.newError(kind, err)
	}
	if message.Error != nil {
		kind, _ := classifyCode(message.Error.GRPCCode, message.Error.Message)
		return nil, s.newError(kind, errors.New(message.Error.Message))
	}
	if message.Result == nil {
		return nil, s.newError(KindReplyLost, errors.New("a message without a result"))
	}
	if message.Result.Canceled {
		return nil, s.canceledError(message.Result)
	}
	return message.Result, nil
}

func (s *watchStream) canceledError(result *wire.WatchResponse) *Error {
	failure := s.newError(KindCanceled, errors.New("the store cancelled the watch: "+result.CancelReason))
	if result.CompactRevision > 0 {
		failure.Kind = KindCompacted
		failure.CompactRevision = int64(result.CompactRevision)
	}
	return failure
}

func (s *watchStream) newError(kind Kind, cause error) *Error {
	return &Error{Step: StepWatch, Peer: s.endpoint.String(), Kind: kind, Cause: cause}
}

// deliver sends the events of a message to the receiver; it is false if ctx ended first.
func (s *watchStream) deliverMessage(events chan<- WatchEvent, message *wire.WatchResponse) bool {
	s.lastRevision = headerRevision(message.Header)
	if len(message.Events) == 0 {
		return s.sendEvent(events, WatchEvent{Kind: WatchProgress, StoreRevision: s.lastRevision})
	}
	for _, event := range message.Events {
		kind := WatchPut
		if event.Type == wire.EventDelete {
			kind = WatchDelete
		}
		s.metrics.watchEvents.Inc()
		if !s.sendEvent(events, WatchEvent{Kind: kind, Entry: newEntry(event.KeyValue), StoreRevision: s.lastRevision}) {
			return false
		}
	}
	return true
}

func (s *watchStream) sendEvent(events chan<- WatchEvent, event WatchEvent) bool {
	select {
	case events <- event:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// deliverEnd sends the last event, or drops it if there is no reader any more.
func (s *watchStream) sendEnd(events chan<- WatchEvent, failure *Error) {
	end := WatchEvent{Kind: WatchEnded, StoreRevision: s.lastRevision, Err: wrapError(failure)}
	select {
	case events <- end:
	default:
		s.sendEvent(events, end)
	}
}
