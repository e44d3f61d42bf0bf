package store

import (
	"encoding/json"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
	"github.com/micaplank/micaplank/internal/settings"
)

// ControlPath takes a ControlRequest by POST and shows the state by GET.
const ControlPath = "/control"

// ControlRequest changes the stand-in while it runs.
type ControlRequest struct {
	// Faults replaces all faults if it is set.
	Faults *Faults `json:"faults,omitempty"`
	// CompactNow drops the whole history, so that watches that start earlier fail.
	CompactNow bool `json:"compact_now,omitempty"`
	// BreakWatches closes the connection of every open watch.
	BreakWatches bool `json:"break_watches,omitempty"`
	// RefuseFor breaks every connection and refuses new ones for this time, as
	// a store that is not running. Further requests by POST are refused too.
	RefuseFor settings.Duration `json:"refuse_for,omitempty"`
}

// ControlReport shows the state of the stand-in.
type ControlReport struct {
	Revision  int64    `json:"revision"`
	Compacted int64    `json:"compacted"`
	Keys      int      `json:"keys"`
	Faults    Faults   `json:"faults"`
	Counters  Counters `json:"counters"`
}

// SetFaults replaces the faults. Calls that hang go on hanging until their
// client leaves.
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

// Control carries out a request as POST to ControlPath does.
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

// Report returns the state.
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

// admit lets a call pass, or answers it as the faults say.
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

// hangLimit bounds a hang whose client never leaves.
const maximumHang = 10 * time.Minute

// pause waits; it is false if the client left or the server stopped.
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

// closeConnection breaks the connection without a response.
func closeConnection(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
