package forward

import "testing"

// TestContentIgnoresHeadersAndID checks that a retry with other headers and another id has the same
// content, and that a change of host, query, method or body changes it.
func TestContentIgnoresHeadersAndID(t *testing.T) {
	base := Request{ID: "1", Host: "h", Head: []byte("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: 1\r\n"), Body: []byte("body")}
	retry := base
	retry.ID, retry.Head = "2", []byte("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX: 2\r\n")
	if base.Content() != retry.Content() {
		t.Error("content differs between attempts of the same request, want it equal")
	}
	for name, other := range map[string]Request{
		"host":   {Host: "g", Head: base.Head, Body: base.Body},
		"query":  {Host: "h", Head: []byte("GET /a?b=d HTTP/1.1\r\n"), Body: base.Body},
		"method": {Host: "h", Head: []byte("PUT /a?b=c HTTP/1.1\r\n"), Body: base.Body},
		"body":   {Host: "h", Head: base.Head, Body: []byte("bodY")},
	} {
		if other.Content() == base.Content() {
			t.Errorf("content is equal with another %s, want it to differ", name)
		}
	}
}
