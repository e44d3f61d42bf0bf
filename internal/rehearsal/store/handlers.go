package store

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// maximumBodyBytes limits the size of a request body.
const maximumBodyBytes = 4 << 20

func (s *Server) newHandler() http.Handler {
	mux := http.NewServeMux()
	handleOperation(mux, s, wire.RangePath, readOperation, func(request *wire.RangeRequest) (any, error) {
		return s.database.readRange(request)
	})
	handleOperation(mux, s, wire.TxnPath, writeOperation, func(request *wire.TxnRequest) (any, error) {
		return s.database.transact(request)
	})
	handleOperation(mux, s, wire.DeleteRangePath, writeOperation, s.deleteRange)
	handleOperation(mux, s, wire.CompactionPath, writeOperation, func(request *wire.CompactionRequest) (any, error) {
		err := s.database.compact(int64(request.Revision))
		return &wire.CompactionResponse{Header: s.database.header()}, err
	})
	mux.HandleFunc("POST "+wire.WatchPath, s.handleWatch)
	mux.HandleFunc("POST "+ControlPath, s.handleControl)
	mux.HandleFunc("GET "+ControlPath, s.handleReport)
	return mux
}

// operationKind determines whether an operation can change the data. Only the replies of write
// operations can be lost.
type operationKind bool

const (
	readOperation  operationKind = false
	writeOperation operationKind = true
)

// handleOperation registers an operation under a path. A call first passes fault injection, then
// runs the operation with the mutex held, and then gets its response.
func handleOperation[Request any](mux *http.ServeMux, s *Server, path string, kind operationKind, operation func(*Request) (any, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, httpRequest *http.Request) {
		request := new(Request)
		if !decodeBody(writer, httpRequest, request) || !s.admit(writer, httpRequest) {
			return
		}
		response, err := runOperation(s, request, operation)
		if err != nil {
			respondError(writer, err)
			return
		}
		if kind == writeOperation && s.consumeLostReply() {
			closeConnection(writer)
			return
		}
		respond(writer, http.StatusOK, response)
	})
}

// runOperation runs an operation with the mutex held and notifies watches if the revision changed.
func runOperation[Request any](s *Server, request *Request, operation func(*Request) (any, error)) (any, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.database.revision
	response, err := operation(request)
	if s.database.revision != before {
		s.counters.Writes++
		s.notifyWatches()
	}
	return response, err
}

func (s *Server) deleteRange(request *wire.DeleteRangeRequest) (any, error) {
	if len(request.Key) == 0 {
		return nil, errEmptyKey
	}
	keys := s.database.matchingKeys(request.Key, request.RangeEnd)
	s.database.deleteKeys(keys, s.database.revision+1)
	return &wire.DeleteRangeResponse{Header: s.database.header(), Deleted: wire.Integer(len(keys))}, nil
}

// decodeBody decodes the JSON body of a request. It returns false after it has sent an error
// response.
func decodeBody(writer http.ResponseWriter, request *http.Request, target any) bool {
	body := http.MaxBytesReader(writer, request.Body, maximumBodyBytes)
	if err := json.NewDecoder(body).Decode(target); err != nil {
		respondWithCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

func respond(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func respondWithCode(writer http.ResponseWriter, status int, code wire.Code, message string) {
	respond(writer, status, wire.ErrorBody{Error: message, Code: code, Message: message})
}

func respondError(writer http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errCompacted), errors.Is(err, errFutureRevision):
		respondWithCode(writer, http.StatusBadRequest, wire.CodeOutOfRange, err.Error())
	case errors.Is(err, errHistoricalRead):
		respondWithCode(writer, http.StatusNotImplemented, wire.CodeUnimplemented, err.Error())
	default:
		respondWithCode(writer, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
	}
}
