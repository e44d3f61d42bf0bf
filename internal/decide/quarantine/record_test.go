package quarantine

import "testing"

// TestRecordEncoding guards against a change of the stored form of a record, which nodes of several
// versions read and write.
func TestRecordEncoding(t *testing.T) {
	const stored = `{"route":"r","ended":[{"leaf":"a","request":"b"}],"trials":2,"trial":"t","odds":400,"held":true}`
	record, err := DecodeRecord([]byte(stored))
	if err != nil {
		t.Fatal(err)
	}
	want := Record{Route: "r", Crashes: []Crash{NewCrash("a", "b")}, Trials: 2, Trial: "t", Odds: 400, Held: true}
	if !record.equal(want) {
		t.Errorf("decoded %+v, want %+v", record, want)
	}
	if value, err := want.Encode(); err != nil || string(value) != stored {
		t.Errorf("encoded %s, error %v, want %s", value, err, stored)
	}
}
