package leaf

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// rawServer is an HTTP/2 server on the level of frames. It lets a test control what happens after a
// request has arrived completely.
type rawServer struct {
	listener net.Listener
	// arrivals counts the requests whose body has arrived completely.
	arrivals atomic.Int64
	dials    atomic.Int64
	// onRequest is called when a request has arrived completely. The server closes the connection
	// if it returns false.
	onRequest func(conn *rawConn, stream uint32, body []byte) bool
	// onReset, if set, is called when the client resets a stream.
	onReset    func(conn *rawConn, stream uint32)
	goroutines sync.WaitGroup
}

type rawConn struct {
	net.Conn
	framer *http2.Framer
	// number counts the server's connections from 1.
	number int64
}

func startRawServer(t testing.TB, onRequest func(*rawConn, uint32, []byte) bool) *rawServer {
	t.Helper()
	return startServer(t, &rawServer{onRequest: onRequest})
}

func startServer(t testing.TB, s *rawServer) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.listener = listener
	s.goroutines.Go(s.accept)
	t.Cleanup(func() {
		listener.Close()
		s.goroutines.Wait()
	})
	return s
}

func (s *rawServer) address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		number := s.dials.Add(1)
		s.goroutines.Go(func() { s.serve(conn, number) })
	}
}

func (s *rawServer) serve(plain net.Conn, number int64) {
	defer plain.Close()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(plain, preface); err != nil {
		return
	}
	conn := &rawConn{Conn: plain, framer: http2.NewFramer(plain, plain), number: number}
	conn.framer.WriteSettings()
	bodies := make(map[uint32][]byte)
	for {
		frame, err := conn.framer.ReadFrame()
		if err != nil {
			return
		}
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				conn.framer.WriteSettingsAck()
			}
		case *http2.HeadersFrame:
			if frame.StreamEnded() { // a load request has no body
				conn.reply(frame.StreamID, []byte("{}"))
			}
		case *http2.RSTStreamFrame:
			if s.onReset != nil {
				s.onReset(conn, frame.StreamID)
			}
		case *http2.PingFrame:
			conn.framer.WritePing(true, frame.Data)
		case *http2.DataFrame:
			if size := uint32(len(frame.Data())); size > 0 {
				conn.framer.WriteWindowUpdate(0, size)
			}
			bodies[frame.StreamID] = append(bodies[frame.StreamID], frame.Data()...)
			if frame.StreamEnded() {
				s.arrivals.Add(1)
				if !s.onRequest(conn, frame.StreamID, bodies[frame.StreamID]) {
					return
				}
			}
		}
	}
}

// reply sends a complete response with the given body.
func (c *rawConn) reply(stream uint32, body []byte) {
	c.writeReplyHeaders(stream)
	c.framer.WriteData(stream, true, body)
}

// writeReplyHeaders sends the headers of a response with status 200.
func (c *rawConn) writeReplyHeaders(stream uint32) {
	var block bytes.Buffer
	hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
}

// successReply returns the reply of a leaf that executes the request.
func successReply(body []byte) []byte {
	var request ExecuteRequest
	json.Unmarshal(body, &request)
	response := ExecuteResponse{
		RequestID: request.RequestID,
		AttemptID: request.AttemptID,
		Shard:     request.Shard,
		Snapshot:  request.Snapshot,
		Executed:  true,
		Load:      LoadSummary{State: StateServing},
	}
	encoded, _ := json.Marshal(response)
	return encoded
}
