package leaf

import (
	"io"
	"net"
	"testing"
	"time"
)

// http2Preface opens an HTTP/2 connection: the client's preface and empty settings.
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"

// TestDrainEndsConnectionsThatComeUpMeanwhile opens a connection before a planned
// stop, begins to speak HTTP/2 on it during the stop, and asks nothing: the leaf
// closes it, and its stop ends. Clients that dial two connections for one request
// leave one like that.
func TestDrainClosesConnectionsOpenedDuringShutdown(t *testing.T) {
	server, client := startTestLeaf(t, testConfig())
	conn, err := net.Dial("tcp", server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	execute(t, server, client, testRequest("after", "select * from rate-desk")) // the leaf accepts in order
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(testContext(t)) }()
	eventually(t, "no new connections", func() bool {
		late, err := net.Dial("tcp", server.Address().String())
		if err == nil {
			late.Close()
		}
		return err != nil
	})
	time.Sleep(50 * time.Millisecond) // the connections that the leaf knows are told
	if _, err := io.WriteString(conn, http2Preface); err != nil {
		t.Fatal(err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
