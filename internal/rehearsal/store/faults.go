package store

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
	"github.com/micaplank/micaplank/internal/settings"
)

// ControlPath accepts a ControlRequest by POST and returns a ControlReport by GET.
const ControlPath = "/control"

// ControlRequest changes a running fake store.
type ControlRequest struct {
	// Faults replaces all faults if it is not nil.
	Faults *Faults `json:"faults,omitempty"`
	// CompactNow compacts all revisions up to the current one, so that watches from an earlier
	// revision fail.
	CompactNow bool `json:"compact_now,omitempty"`
	// BreakWatches closes the connection of every open watch.
	BreakWatches bool `json:"break_watches,omitempty"`
	// RefuseFor closes every connection and refuses new ones for this time, as if the store were
	// not running. This includes further control requests over HTTP.
	RefuseFor settings.Duration `json:"refuse_for,omitempty"`
}

// ControlReport is the state of the fake store.
type ControlReport struct {
	Revision  int64    `json:"revision"`
	Compacted int64    `json:"compacted"`
	Keys      int      `json:"keys"`
	Faults    Faults   `json:"faults"`
	Counters  Counters `json:"counters"`
}

// SetFaults replaces the faults. Calls that already hang continue to hang until their client
// disconnects, the server closes or maximumHang has passed.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.limiter = rate.NewLimiter(rate.Inf, 0)
	if faults.RatePerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(faults.RatePerSecond), max(faults.Burst, 1))
	}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Control applies a request in the same way as a POST to ControlPath.
func (s *Server) Control(request ControlRequest) {
	s.applyControl(request)
	if request.RefuseFor > 0 {
		s.refuseConnections(request.RefuseFor.Duration())
	}
}

func (s *Server) applyControl(request ControlRequest) {
	if request.Faults != nil {
		s.SetFaults(*request.Faults)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if request.CompactNow {
		_ = s.database.compact(s.database.revision)
	}
	if request.BreakWatches {
		s.watchBreaks++
	}
	s.notifyWatches()
}

// Report returns the current state.
func (s *Server) Report() ControlReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return ControlReport{
		Revision: s.database.revision, Compacted: s.database.compacted, Keys: len(s.database.entries),
		Faults: s.faults, Counters: s.counters,
	}
}

func (s *Server) handleControl(writer http.ResponseWriter, request *http.Request) {
	var body ControlRequest
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maximumBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		respondWithCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return
	}
	s.logger.Info("control", "request", body)
	s.applyControl(body)
	if body.RefuseFor > 0 {
		s.startRefusing(body.RefuseFor.Duration())
	}
	respond(writer, http.StatusOK, s.Report())
	if body.RefuseFor > 0 {
		_ = http.NewResponseController(writer).Flush()
		s.closeHTTPServer()
	}
}

func (s *Server) handleReport(writer http.ResponseWriter, _ *http.Request) {
	respond(writer, http.StatusOK, s.Report())
}

// admit reports whether a call may be executed. If a fault prevents it, admit answers the call or
// closes its connection.
func (s *Server) admit(writer http.ResponseWriter, request *http.Request) bool {
	s.mutex.Lock()
	s.counters.Calls++
	faults, refusing := s.faults, s.refusing
	limited := faults.Outage == OutageNone && !s.limiter.Allow()
	if limited {
		s.counters.RateLimited++
	} else if faults.Outage != OutageNone {
		s.counters.Failed++
	}
	s.mutex.Unlock()
	if refusing {
		closeConnection(writer)
		return false
	}
	if limited {
		writer.Header().Set("Retry-After", "1")
		respondWithCode(writer, http.StatusTooManyRequests, wire.CodeResourceExhausted, "etcdserver: too many requests")
		return false
	}
	switch faults.Outage {
	case OutageUnavailable:
		respondWithCode(writer, http.StatusServiceUnavailable, wire.CodeUnavailable, "etcdserver: no leader")
		return false
	case OutageClose:
		closeConnection(writer)
		return false
	case OutageHang:
		s.sleep(request, maximumHang)
		closeConnection(writer)
		return false
	}
	return s.sleep(request, faults.Delay.Duration())
}

// maximumHang limits the hang of a call whose client does not disconnect.
const maximumHang = 10 * time.Minute

// sleep waits for the delay. It returns false early if the client disconnects or the server stops.
func (s *Server) sleep(request *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	case <-s.stopped:
		return false
	}
}

// consumeLostReply reports whether the reply of a write must be lost, and decrements the number of
// replies to lose.
func (s *Server) consumeLostReply() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	s.counters.RepliesLost++
	return true
}

// closeConnection closes the connection of a request without sending a response.
func closeConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
