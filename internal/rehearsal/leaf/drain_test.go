package leaf

import (
	"io"
	"net"
	"testing"
	"time"
)

// http2Preface opens an HTTP/2 connection: the client preface and an empty SETTINGS frame.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// TestDrainClosesConnectionsOpenedDuringShutdown opens a TCP connection before Drain, sends the
// HTTP/2 preface on it during Drain and sends no request. Drain must close the connection and
// return. Clients that dial two connections for one request leave such a connection behind.
func TestDrainClosesConnectionsOpenedDuringShutdown(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	conn, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The leaf accepts connections in order, so conn has been accepted when this call returns.
	execute(t, server, client, testRequest("after", "select * from rate-desk"))
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(testContext(t)) }()
	eventually(t, "leaf refuses new connections", func() bool {
		late, err := net.Dial("tcp", server.Address().String())
		if err == nil {
			late.Close()
		}
		return err != nil
	})
	// Drain notifies the established HTTP/2 connections during this time.
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(conn, http2Preface); err != nil {
		t.Fatal(err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: got error %v, want none", err)
	}
}
