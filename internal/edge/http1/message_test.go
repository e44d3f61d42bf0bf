package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// TestMessageIsReadAsItWasMeant reads written requests with the library's
// server side.
func TestMessageEncoding(t *testing.T) {
	for _, test := range []struct {
		name, method, target, wantTarget, body, wantLength string
	}{
		{"no body", http.MethodGet, "/a/b%2Fc?q=1&q=2", "/a/b%2Fc?q=1&q=2", "", ""},
		{"body", http.MethodPost, "/a", "/a", "some bytes", "10"},
		{"empty body", http.MethodPost, "/a", "/a", "", "0"},
		{"whole URL", http.MethodGet, "http://h.example/a?b=c", "/a?b=c", "", ""},
	} {
		header := http.Header{
			"X-Kept": {"one", "two"}, "X-Omitted": {"x"}, "Content-Length": {"99"},
			"Transfer-Encoding": {"chunked"}, "Host": {"other"},
		}
		head, err := WriteHead(test.method, test.target, "h.example", header, "x-omitted")
		if err != nil {
			t.Fatal(err)
		}
		message := Message{Method: test.method, Head: head, Own: AppendHeader(nil, "X-Own", "mine"), Body: []byte(test.body)}
		read, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message.encode())))
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		body, err := io.ReadAll(read.Body)
		if err != nil || string(body) != test.body {
			t.Errorf("%s: body %q, %v", test.name, body, err)
		}
		if read.Method != test.method || read.RequestURI != test.wantTarget || read.Host != "h.example" {
			t.Errorf("%s: %s %s %s", test.name, read.Method, read.RequestURI, read.Host)
		}
		if got := read.Header; len(got["X-Kept"]) != 2 || got.Get("X-Own") != "mine" || got.Get("X-Omitted") != "" ||
			got.Get("User-Agent") != "" || got.Get("Content-Length") != test.wantLength {
			t.Errorf("%s: headers %v", test.name, got)
		}
	}
	if _, err := WriteHead(http.MethodGet, "no target", "h", nil); err == nil {
		t.Error("wrote a target that is none")
	}
}

// TestHeaderLinesCannotBeSmuggled keeps line ends out of values.
func TestHeaderValuesCannotInjectLines(t *testing.T) {
	head, err := WriteHead(http.MethodGet, "/", "h", http.Header{"X": {"a\r\nY: b"}})
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(head, []byte("\r\nY")) {
		t.Errorf("%q", head)
	}
}
