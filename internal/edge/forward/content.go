package forward

import (
	"bytes"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
)

// Content names what the request asks. Its headers do not count: they differ from
// try to try.
func (r *Request) Content() quarantine.Content {
	line, _, _ := bytes.Cut(r.Head, []byte("\r\n"))
	return quarantine.ContentOf(r.Host, line, r.Body)
}
