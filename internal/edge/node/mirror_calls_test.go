package node

import (
	"bytes"
	"encoding/gob"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// TestCallsOfFormerNodesAreRead: nodes of several versions copy the store from each
// other. The files hold calls as nodes in use wrote them.
func TestCallsOfFormerNodesAreRead(t *testing.T) {
	for name, want := range map[string]any{
		"watch_request":    &watchRequest{After: 7, Wait: time.Second},
		"offer_request":    &offerRequest{Wait: time.Second},
		"snapshot_request": &snapshotRequest{From: "node-1"},
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
