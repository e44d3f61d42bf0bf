package delegate

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/executors"
)

// TestMessagesOfFormerNodesAreRead: nodes of several versions delegate requests to each
// other. The files hold messages as nodes in use wrote them; a field with another name
// would be read as zero.
func TestMessagesOfFormerNodesAreRead(t *testing.T) {
	status := executors.Status{Version: 7, Accepting: true, Fresh: true, Cordoned: []string{"zone-a"}}
	for name, want := range map[string]any{
		"status_request": &statusRequest{From: "node-1"},
		"status":         &status,
		"execute_request": &executeRequest{
			From: "node-1", Terms: executors.Terms{Version: 7, Fresh: true, Cordoned: []string{"zone-a"}},
			ID: "request-1", Method: "GET", Host: "host", Path: "/path", Head: []byte("head"), Body: []byte("body"),
			Patience: time.Second, Away: time.Millisecond,
		},
		"execute_response": &executeResponse{
			Refusal: refusedVersion, Status: status,
			Fate: "merged", Reason: "overload", Body: []byte("body"), Signatures: []string{"signature"}, Missing: 1,
			RetryAfter: time.Second, Route: "route", Answered: 2, Total: 3,
		},
	} {
		written, err := os.ReadFile(filepath.Join("testdata", name+".gob"))
		if err != nil {
			t.Fatal(err)
		}
		read := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := gob.NewDecoder(bytes.NewReader(written)).Decode(read); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(read, want) {
			t.Errorf("%s: %+v, want %+v", name, read, want)
		}
	}
}
