package store

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

const maximumBodyBytes = 4 << 20

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, s, wire.RangePath, reads, func(request *wire.RangeRequest) (any, error) {
		return s.database.read(request)
	})
	handle(mux, s, wire.TxnPath, writes, func(request *wire.TxnRequest) (any, error) {
		return s.database.transact(request)
	})
	handle(mux, s, wire.DeleteRangePath, writes, s.deleteRange)
	handle(mux, s, wire.CompactionPath, writes, func(request *wire.CompactionRequest) (any, error) {
		err := s.database.compact(int64(request.Revision))
		return &wire.CompactionResponse{Header: s.database.header()}, err
	})
	mux.HandleFunc("POST "+wire.WatchPath, s.watch)
	mux.HandleFunc("POST "+ControlPath, s.control)
	mux.HandleFunc("GET "+ControlPath, s.report)
	return mux
}

// effect says whether a call can change the store, and so can lose its reply.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// handle serves one path: the faults first, then the operation under the
// mutex, then the response.
func handle[Request any](mux *http.ServeMux, s *Server, path string, effect effect, operate func(*Request) (any, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, httpRequest *http.Request) {
		request := new(Request)
		if !decode(writer, httpRequest, request) || !s.admit(writer, httpRequest) {
			return
		}
		response, err := apply(s, request, operate)
		if err != nil {
			respondError(writer, err)
			return
		}
		if effect == writes && s.loseReply() {
			closeConnection(writer)
			return
		}
		respond(writer, http.StatusOK, response)
	})
}

func apply[Request any](s *Server, request *Request, operate func(*Request) (any, error)) (any, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.database.revision
	response, err := operate(request)
	if s.database.revision != before {
		s.counters.Writes++
		s.announce()
	}
	return response, err
}

func (s *Server) deleteRange(request *wire.DeleteRangeRequest) (any, error) {
	if len(request.Key) == 0 {
		return nil, errNoKey
	}
	keys := s.database.keysIn(request.Key, request.RangeEnd)
	s.database.remove(keys, s.database.revision+1)
	return &wire.DeleteRangeResponse{Header: s.database.header(), Deleted: wire.Integer(len(keys))}, nil
}

func decode(writer http.ResponseWriter, request *http.Request, target any) bool {
	body := http.MaxBytesReader(writer, request.Body, maximumBodyBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		respondCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

func respond(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func respondCode(writer http.ResponseWriter, status int, code wire.Code, message string) {
	respond(writer, status, wire.ErrorBody{Error: message, Code: code, Message: message})
}

func respondError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errCompacted), errors.Is(err, errFutureRevision):
		respondCode(writer, http.StatusBadRequest, wire.CodeOutOfRange, err.Error())
	case errors.Is(err, errPastRead):
		respondCode(writer, http.StatusNotImplemented, wire.CodeUnimplemented, err.Error())
	default:
		respondCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
	}
}
