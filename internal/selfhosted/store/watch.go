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

// WatchKind is the type of a WatchEvent.
type WatchKind string

const (
	// WatchPut and WatchDelete report that the key of Entry was written or deleted at
	// Entry.ModRevision.
	WatchPut    WatchKind = "put"
	WatchDelete WatchKind = "delete"
	// WatchProgress reports that all changes up to StoreRevision have been delivered.
	WatchProgress WatchKind = "progress"
	// WatchEnded reports that the stream has ended because of Err. It is the last event.
	WatchEnded WatchKind = "ended"
)

// WatchEvent is one event of a watch.
type WatchEvent struct {
	Kind  WatchKind
	Entry Entry
	// StoreRevision is the revision of the store when it sent the message.
	StoreRevision int64
	// Err is set for WatchEnded. It wraps an *Error, for example of KindCompacted, KindCanceled or
	// KindReplyLost, or of another kind that a call can return.
	Err error
}

// watchBufferSize is the number of buffered events at which the client stops reading the stream
// until the receiver catches up.
const watchBufferSize = 64

// Watch reports the changes of the keys from key up to, but not including, end (only key if end is
// empty), starting at fromRevision; 0 means after the current revision. It blocks until the store
// has opened the watch.
//
// The channel is closed after one WatchEnded event. The caller then opens a new watch from the
// revision after the last one seen. The watch ends when ctx ends; the caller then either reads the
// channel until it is closed or stops reading it.
//
// Watch does not detect a connection that fails silently. Callers should also call Range
// periodically.
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

// watchStream is the reader of an open watch.
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

// startStream posts the watch request and reads the message that confirms the watch.
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
		failure = stream.newError(KindReplyLost, errors.New("open watch: first message does not confirm the watch"))
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

// readMessage reads one message. It returns an error if the stream was truncated, failed or was
// cancelled.
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
		return nil, s.newError(KindReplyLost, errors.New("read watch: message has neither a result nor an error"))
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

// deliverMessage sends the events of a message to the receiver. It returns false if the context
// ended first.
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

// sendEnd sends the WatchEnded event. It drops the event if the buffer is full and the context has
// ended.
func (s *watchStream) sendEnd(events chan<- WatchEvent, failure *Error) {
	end := WatchEvent{Kind: WatchEnded, StoreRevision: s.lastRevision, Err: wrapError(failure)}
	select {
	case events <- end:
	default:
		s.sendEvent(events, end)
	}
}
