package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// TestMessageEncoding parses encoded requests with the server side of net/http.
func TestMessageEncoding(t *testing.T) {
	for _, test := range []struct {
		name, method, target, wantTarget, body, wantLength string
	}{
		{"no body", http.MethodGet, "/a/b%2Fc?q=1&q=2", "/a/b%2Fc?q=1&q=2", "", ""},
		{"body", http.MethodPost, "/a", "/a", "some bytes", "10"},
		{"empty body", http.MethodPost, "/a", "/a", "", "0"},
		{"absolute URL", http.MethodGet, "http://h.example/a?b=c", "/a?b=c", "", ""},
	} {
		header := http.Header{
			"X-Kept": {"one", "two"}, "X-Omitted": {"x"}, "Content-Length": {"99"},
			"Transfer-Encoding": {"chunked"}, "Host": {"other"},
		}
		head, err := WriteHead(test.method, test.target, "h.example", header, "x-omitted")
		if err != nil {
			t.Fatal(err)
		}
		message := Message{Method: test.method, Head: head, ExtraHeaders: AppendHeader(nil, "X-Own", "mine"), Body: []byte(test.body)}
		read, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message.encode())))
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		body, err := io.ReadAll(read.Body)
		if err != nil || string(body) != test.body {
			t.Errorf("%s: body %q, error %v, want body %q", test.name, body, err, test.body)
		}
		if read.Method != test.method || read.RequestURI != test.wantTarget || read.Host != "h.example" {
			t.Errorf("%s: got %s %s for host %s, want %s %s for host h.example", test.name, read.Method, read.RequestURI, read.Host, test.method, test.wantTarget)
		}
		if got := read.Header; len(got["X-Kept"]) != 2 || got.Get("X-Own") != "mine" || got.Get("X-Omitted") != "" ||
			got.Get("User-Agent") != "" || got.Get("Content-Length") != test.wantLength {
			t.Errorf("%s: headers %v, want X-Kept twice, X-Own, no X-Omitted, no User-Agent and Content-Length %q", test.name, got, test.wantLength)
		}
	}
	if _, err := WriteHead(http.MethodGet, "no target", "h", nil); err == nil {
		t.Error("WriteHead of an invalid target: got no error")
	}
}

// TestHeaderValuesCannotInjectLines checks that line ends in header values are not written.
func TestHeaderValuesCannotInjectLines(t *testing.T) {
	head, err := WriteHead(http.MethodGet, "/", "h", http.Header{"X": {"a\r\nY: b"}})
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(head, []byte("\r\nY")) {
		t.Errorf("head %q contains an injected header line", head)
	}
}
