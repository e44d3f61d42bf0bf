package store

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// watch serves one watch: a stream of JSON messages until the client leaves,
// the start revision is compacted, or a fault breaks it.
func (s *Server) watch(writer http.ResponseWriter, request *http.Request) {
	var body wire.WatchRequest
	if !decode(writer, request, &body) || !s.admit(writer, request) {
		return
	}
	if body.Create == nil || len(body.Create.Key) == 0 {
		respondCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, errNoKey.Error())
		return
	}
	stream := &watchStream{server: s, writer: writer, request: request, create: *body.Create}
	s.mutex.Lock()
	s.counters.Watches++
	stream.breaks = s.breaks
	stream.next = int64(body.Create.StartRevision)
	if stream.next == 0 {
		stream.next = s.database.revision + 1
	}
	header := s.database.header()
	s.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	stream.send(&wire.WatchResponse{Header: header, Created: true})
	stream.run()
}

// watchStream is the sending side of one watch.
type watchStream struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	create  wire.WatchCreateRequest
	// next is the first revision not yet sent.
	next int64
	// breaks is the number of orders to break the watches before this one began.
	breaks int
}

func (w *watchStream) run() {
	for {
		batch := w.collect()
		if batch.broken || (batch.outage != OutageNone && batch.outage != OutageHang) {
			closeConnection(w.writer)
			return
		}
		if batch.outage == OutageNone && batch.pending() {
			if !w.server.pause(w.request, batch.delay) || !w.send(batch.response) || batch.response.Canceled {
				return
			}
			continue
		}
		select {
		case <-batch.changed:
		case <-batch.faultsChanged:
		case <-w.request.Context().Done():
			return
		case <-w.server.stopped:
			return
		}
	}
}

// batch is what a watch has to do next.
type batch struct {
	response *wire.WatchResponse
	delay    time.Duration
	outage   Outage
	// broken is set if there was an order to break the watches.
	broken bool

	changed, faultsChanged <-chan struct{}
}

func (b batch) pending() bool { return len(b.response.Events) > 0 || b.response.Canceled }

// collect takes the events that are due, under the mutex.
func (w *watchStream) collect() batch {
	s := w.server
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := batch{
		delay: s.faults.WatchDelay.Duration(), outage: s.faults.Outage,
		broken: w.breaks != s.breaks, changed: s.changed, faultsChanged: s.faultsChanged,
	}
	if result.outage != OutageNone || result.broken {
		return result
	}
	events, err := s.database.since(w.next, w.create.Key, w.create.RangeEnd)
	response := &wire.WatchResponse{Header: s.database.header(), Events: events}
	if err != nil {
		response.Canceled = true
		response.CompactRevision = wire.Integer(s.database.compacted)
		response.CancelReason = err.Error()
	}
	w.next = max(w.next, s.database.revision+1)
	result.response = response
	return result
}

func (w *watchStream) send(response *wire.WatchResponse) bool {
	message := wire.StreamMessage[wire.WatchResponse]{Result: response}
	if err := json.NewEncoder(w.writer).Encode(message); err != nil {
		return false
	}
	return http.NewResponseController(w.writer).Flush() == nil
}
