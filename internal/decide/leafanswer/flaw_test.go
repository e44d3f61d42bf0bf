package leafanswer

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const (
	testIDHeader   = "Id:"
	testSingleName = "Stamp"
)

// TestFlaw checks which responses count as corrupted by another one.
func TestFlaw(t *testing.T) {
	for _, test := range []struct {
		name     string
		received Received
		want     Flaw
	}{
		{"whole answer", Received{Reason: "OK", Header: map[string][]string{"Stamp": {"s"}}, Body: []byte("body")}, FlawNone},
		{"another answer behind it", Received{Body: []byte("body"), Behind: []byte("HTTP/1.1 ")}, FlawNone},
		{"beginning of another answer behind it", Received{Body: []byte("body"), Behind: []byte("HTT")}, FlawNone},
		{"line end behind it", Received{Body: []byte("body"), Behind: []byte("\r\n")}, FlawNone},
		{"rest of the body behind it", Received{Body: []byte("body"), Behind: []byte("dy")}, FlawBehind},
		{"rest behind chunks", Received{Framing: FramedByChunks, Body: []byte("body"), Behind: []byte("dy")}, FlawNone},
		{"bytes behind an answer without a body", Received{Behind: []byte("dy")}, FlawNone},
		{"text of a status line in the body", Received{Body: []byte("see HTTP/1.1 200 OK")}, FlawNone},
		{"the same without a length", Received{Framing: FramedByClose, Body: []byte("see HTTP/1.1 200 OK")}, FlawBody},
		{"protocol name in a body without a length", Received{Framing: FramedByClose, Body: []byte("HTTP/1.1 is old")}, FlawNone},
		{"answer in the body", Received{Body: []byte("boHTTP/1.1 200 OK\r\nId: 7\r\n\r\ndy")}, FlawBody},
		{"answer in a reason phrase", Received{Reason: "OHTTP/1.1 500 Error"}, FlawHead},
		{"answer in a header", Received{Header: map[string][]string{"Any": {"x", "sHTTP/1.0 200 OK"}}}, FlawHead},
		{"beginning of an answer in a header of the protocol", Received{Header: map[string][]string{"Stamp": {"sHTTP/"}}}, FlawHead},
		{"name of the protocol in another header", Received{Header: map[string][]string{"Any": {"HTTP/1.1 proxy"}}}, FlawNone},
		{"header named twice", Received{Header: map[string][]string{"Stamp": {"s", "s"}}}, FlawRepeatedHeader},
		{"other header named twice", Received{Header: map[string][]string{"Any": {"s", "s"}}}, FlawNone},
	} {
		test.received.IDHeader, test.received.SingleValued = []byte(testIDHeader), []string{testSingleName}
		if got := test.received.Flaw(); got != test.want {
			t.Errorf("%s: got flaw %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against a body of the right length that holds the beginning of another answer.
func TestInsertedBytesAreNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringMatching(`[a-z]{1,40}`).Draw(t, "body")
		other := "HTTP/1.1 200 OK\r\nStamp: s\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"
		inserted := other[:rapid.IntRange(1, len(other)).Draw(t, "size")]
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		arrived := body[:at] + inserted + body[at:]
		received := Received{
			Body: []byte(arrived[:len(body)]), Behind: []byte(arrived[len(body):]),
			IDHeader: []byte(testIDHeader), SingleValued: []string{testSingleName},
		}
		if received.Flaw() == FlawNone && !strings.HasPrefix(arrived[len(body):], protocolName) {
			t.Fatalf("body %q with %q behind it: got no flaw", received.Body, received.Behind)
		}
	})
}
