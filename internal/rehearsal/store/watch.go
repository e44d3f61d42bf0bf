package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// handleWatch serves one watch as a stream of JSON messages. The stream ends when the client
// disconnects, the next revision is compacted or a fault closes the connection.
func (s *Server) handleWatch(writer http.ResponseWriter, request *http.Request) {
	var body wire.WatchRequest
	if !decodeBody(writer, request, &body) || !s.admit(writer, request) {
		return
	}
	if body.Create == nil || len(body.Create.Key) == 0 {
		respondWithCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, errEmptyKey.Error())
		return
	}
	stream := &watchStream{server: s, writer: writer, request: request, create: *body.Create}
	s.mutex.Lock()
	s.counters.Watches++
	stream.initialBreaks = s.watchBreaks
	stream.nextRevision = int64(body.Create.StartRevision)
	if stream.nextRevision == 0 {
		stream.nextRevision = s.database.revision + 1
	}
	header := s.database.header()
	s.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	stream.send(&wire.WatchResponse{Header: header, Created: true})
	stream.run()
}

// watchStream sends the messages of one watch.
type watchStream struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	create  wire.WatchCreateRequest
	// nextRevision is the first revision that has not been sent.
	nextRevision int64
	// initialBreaks is the value of Server.watchBreaks when the watch started.
	initialBreaks int
}

func (w *watchStream) run() {
	for {
		pending := w.collectPending()
		if pending.broken || (pending.outage != OutageNone && pending.outage != OutageHang) {
			closeConnection(w.writer)
			return
		}
		if pending.outage == OutageNone && pending.hasMessage() {
			if !w.server.sleep(w.request, pending.delay) || !w.send(pending.response) || pending.response.Canceled {
				return
			}
			continue
		}
		select {
		case <-pending.revisionChanged:
		case <-pending.faultsChanged:
		case <-w.request.Context().Done():
			return
		case <-w.server.stopped:
			return
		}
	}
}

// pendingMessage holds the next message of a watch and the faults that affect it.
type pendingMessage struct {
	response *wire.WatchResponse
	delay    time.Duration
	outage   Outage
	// broken is set if the connection must be closed because of ControlRequest.BreakWatches.
	broken bool

	revisionChanged, faultsChanged <-chan struct{}
}

func (m pendingMessage) hasMessage() bool { return len(m.response.Events) > 0 || m.response.Canceled }

// collectPending returns the events from nextRevision on and advances nextRevision past them.
// During an outage it returns no message.
func (w *watchStream) collectPending() pendingMessage {
	s := w.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pending := pendingMessage{
		delay: s.faults.WatchDelay.Duration(), outage: s.faults.Outage,
		broken: w.initialBreaks != s.watchBreaks, revisionChanged: s.revisionChanged, faultsChanged: s.faultsChanged,
	}
	if pending.outage != OutageNone || pending.broken {
		return pending
	}
	events, err := s.database.eventsSince(w.nextRevision, w.create.Key, w.create.RangeEnd)
	response := &wire.WatchResponse{Header: s.database.header(), Events: events}
	if err != nil {
		response.Canceled = true
		response.CompactRevision = wire.Integer(s.database.compacted)
		response.CancelReason = err.Error()
	}
	w.nextRevision = max(w.nextRevision, s.database.revision+1)
	pending.response = response
	return pending
}

func (w *watchStream) send(response *wire.WatchResponse) bool {
	message := wire.StreamMessage[wire.WatchResponse]{Result: response}
	if err := json.NewEncoder(w.writer).Encode(message); err != nil {
		return false
	}
	return http.NewResponseController(w.writer).Flush() == nil
}
