package leaf

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	protocol "github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// post sends JSON over HTTP/1.1 and returns the status of the response.
func post(t *testing.T, server *Server, path, body string) int {
	t.Helper()
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	response, err := client.Post("http://"+server.Address().String()+path, "application/json", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func TestControlChangesOnlyNamedFields(t *testing.T) {
	server, _ := startTestLeaf(t, testConfig())
	steps := []struct {
		path, body string
		status     int
	}{
		{ControlPath, `{"slow_factor": 8, "refuse": "shed"}`, http.StatusOK},
		{ControlPath, `{"delay_ms": 5, "drain": true, "add_version": 3}`, http.StatusOK},
		{ControlPath, `{"slow": 8}`, http.StatusBadRequest},
		{ControlPath, `{"slow_factor": "8"}`, http.StatusBadRequest},
		{ControlPath, `{"add_partition": {"epoch": 2, "shards": 1, "hold": [1]}}`, http.StatusBadRequest},
		{JournalPath, `[{"request_id": "r", "version": 1, "row": ["Q-new", "OTR-SPK", null, null, 4100, 1]}]`, http.StatusNoContent},
		{JournalPath, `[{"request_id": "r", "version": 1, "row": ["Q-new"]}]`, http.StatusBadRequest},
	}
	for _, step := range steps {
		if status := post(t, server, step.path, step.body); status != step.status {
			t.Errorf("POST %s %s: got status %d, want %d", step.path, step.body, status, step.status)
		}
	}
	faults := server.Faults()
	if faults.SlowFactor != 8 || faults.Refuse != protocol.RefusedShed || faults.DelayMilliseconds != 5 || faults.ReportScale != 1 {
		t.Errorf("got faults %+v, want slow factor 8, refuse %q, delay 5 ms, report scale 1", faults, protocol.RefusedShed)
	}
	if load := server.Load(); load.State != protocol.StateDraining || len(load.Holdings) != 2 {
		t.Errorf("got load %+v, want state %q and 2 holdings", load, protocol.StateDraining)
	}
	original, _ := server.holdings.lookup(testSnapshot, 0)
	added, _ := server.holdings.lookup(server.Load().Holdings[1].Snapshot, 0)
	if insertedKey, count := rows.NewText("Q-new"), 0; original == nil || added == nil {
		t.Errorf("got version 1 held %t, version 3 held %t, want both", original != nil, added != nil)
	} else {
		for _, row := range append(original.rows.Rows, added.rows.Rows...) {
			if row[0] == insertedKey {
				count++
			}
		}
		if count != 1 {
			t.Errorf("inserted row: got %d occurrences in both versions, want 1", count)
		}
	}
}

func TestLoadReportFaults(t *testing.T) {
	server, _ := startTestLeaf(t, testConfig())
	server.faults.update(func(faults *Faults) {
		faults.ReportLagMilliseconds = 1000
		faults.ReportScale = 0.5
	})
	server.slots.busy = 4
	server.reporter.recordSample(time.Now().Add(-2 * time.Second))
	server.slots.busy = 2
	server.reporter.recordSample(time.Now().Add(-time.Millisecond))
	if summary := server.reporter.summary(); summary.SlotsBusy != 2 {
		t.Errorf("reported busy slots: got %d, want 2, half of the 4 before the lag", summary.SlotsBusy)
	}
	fixed := protocol.LoadSummary{State: protocol.StateServing, Slots: 99}
	server.faults.update(func(faults *Faults) { faults.ReportFixed = &fixed })
	if summary := server.reporter.summary(); summary != fixed {
		t.Errorf("fixed report: got %+v, want %+v", summary, fixed)
	}
	server.slots.busy = 0
}

func TestConfigValidate(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no service":       func(c *Config) { c.Service = "" },
		"no slots":         func(c *Config) { c.Slots = 0 },
		"no versions":      func(c *Config) { c.Versions = nil },
		"shard out of set": func(c *Config) { c.Partitions = []Partition{{Epoch: 1, Shards: 2, Hold: []int{2}}} },
	} {
		config := testConfig()
		if change(&config); config.Validate() == nil {
			t.Errorf("%s: got a valid config, want an error", name)
		}
	}
	config := DefaultConfig()
	err := toml.Unmarshal([]byte(`
listen = "127.0.0.1:7101"
service = "rate-desk"
versions = [1, 2]
cold_for = "2s"
[[partitions]]
epoch = 1
shards = 8
hold = [0, 1]
[select]
median = "4ms"
sigma = 0.5
`), &config)
	if err != nil || config.Validate() != nil {
		t.Fatalf("got decode error %v, validation error %v, want none", err, config.Validate())
	}
	if config.ColdFor.Duration() != 2*time.Second || config.Select.Median.Duration() != 4*time.Millisecond || config.Listen.Port() != 7101 {
		t.Errorf("got config %+v, want cold for 2 s, select median 4 ms and port 7101", config)
	}
}
