package forward

import "testing"

// TestContentIsThatOfTheRequestAlone: the headers and the id differ from try to try.
func TestContentIgnoresHeadersAndID(t *testing.T) {
	base := Request{ID: "1", Host: "h", Head: []byte("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: 1\r\n"), Body: []byte("body")}
	retry := base
	retry.ID, retry.Head = "2", []byte("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: 2\r\n")
	if base.Content() != retry.Content() {
		t.Error("another try of the same request has another name")
	}
	for name, other := range map[string]Request{
		"host":   {Host: "g", Head: base.Head, Body: base.Body},
		"query":  {Host: "h", Head: []byte("GET /a?b=d HTTP/1.1\r\n"), Body: base.Body},
		"method": {Host: "h", Head: []byte("PUT /a?b=c HTTP/1.1\r\n"), Body: base.Body},
		"body":   {Host: "h", Head: base.Head, Body: []byte("bodY")},
	} {
		if other.Content() == base.Content() {
			t.Errorf("another %s has the same name", name)
		}
	}
}
