package catalog_test

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
)

func TestMain(m *testing.M) {
	// A -rapid.seed flag overrides this seed.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newChange(revision uint64, command catalog.Command) catalog.Change {
	at := time.Date(2026, 1, 2, 3, 4, 5, int(revision), time.FixedZone("JST", 9*3600))
	return catalog.Change{Revision: revision, ID: fmt.Sprintf("%d-x", revision), Operator: "mori", At: at, Command: command}
}

func mustEncode(t rapid.TB, c *catalog.Catalog) []byte {
	data, err := catalog.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

var leafAddress = netip.MustParseAddrPort("127.0.0.1:7101")

// buildCatalog applies the commands to the empty catalog, each as one revision.
func buildCatalog(t *testing.T, commands ...catalog.Command) *catalog.Catalog {
	t.Helper()
	current := catalog.Empty()
	for _, command := range commands {
		next, err := catalog.Apply(current, newChange(current.Revision+1, command))
		if err != nil {
			t.Fatalf("Apply(%s): %v", command, err)
		}
		current = next
	}
	return current
}

func createService(shards int) catalog.Command {
	return catalog.Command{CreateService: &catalog.CreateService{Name: "rate-desk", Shards: shards, Replicas: 2}}
}

func addLeaf(zone string, shards ...int) catalog.Command {
	return catalog.Command{AddLeaf: &catalog.AddLeaf{Service: "rate-desk", Address: leafAddress, Zone: zone, Shards: shards}}
}

func retireLeaf() catalog.Command {
	return catalog.Command{RetireLeaf: &catalog.RetireLeaf{Address: leafAddress}}
}

func TestAddExistingLeaf(t *testing.T) {
	updated := buildCatalog(t, createService(8), addLeaf("a", 1, 0), addLeaf("b", 2))
	leaf := updated.Services["rate-desk"].Leaves[leafAddress]
	if leaf.AddedAt != 2 || leaf.Zone != "b" || !slices.Equal(leaf.Shards, []int{2}) {
		t.Errorf("leaf after an update = %+v, want added_at 2, zone b and shard 2", leaf)
	}
	returned := buildCatalog(t, createService(8), addLeaf("a", 1, 0), retireLeaf(), addLeaf("a", 0, 1))
	leaf = returned.Services["rate-desk"].Leaves[leafAddress]
	if leaf.AddedAt != 4 || leaf.Retiring {
		t.Errorf("retired leaf after it was added again = %+v, want added_at 4 and not retiring", leaf)
	}
}

func TestRepartitionKeepsNewestPartitions(t *testing.T) {
	commands := []catalog.Command{createService(8), addLeaf("a", 1, 7)}
	for shards := 7; shards > 7-catalog.RetainedPartitions; shards-- {
		commands = append(commands, catalog.Command{Repartition: &catalog.Repartition{Service: "rate-desk", Shards: shards}})
	}
	service := buildCatalog(t, commands...).Services["rate-desk"]
	want := []catalog.Partition{{Epoch: 2, Shards: 7}, {Epoch: 3, Shards: 6}, {Epoch: 4, Shards: 5}}
	if !slices.Equal(service.Partitions, want) {
		t.Errorf("partitions = %v, want %v", service.Partitions, want)
	}
	if got := service.Leaves[leafAddress].Shards; !slices.Equal(got, []int{1}) {
		t.Errorf("leaf has shards %v, want only shard 1, which the new partition still has", got)
	}
}

func TestApplyRefusals(t *testing.T) {
	base := buildCatalog(t, createService(8), addLeaf("a", 0), catalog.Command{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: "n1", Zone: "a"}}})
	cases := []struct {
		command catalog.Command
		code    catalog.Code
	}{
		{createService(8), catalog.CodeUnchanged},
		{createService(9), catalog.CodeDuplicate},
		{createService(catalog.MaximumShards + 1), catalog.CodeLimit},
		{addLeaf("a", 8), catalog.CodeUnknownShard},
		{addLeaf("a", 0), catalog.CodeUnchanged},
		{addLeaf("a", 1, 1), catalog.CodeInvalid},
		{catalog.Command{StopService: &catalog.StopService{Name: "other"}}, catalog.CodeUnknownService},
		{catalog.Command{StartService: &catalog.StartService{Name: "rate-desk"}}, catalog.CodeUnchanged},
		{catalog.Command{DropService: &catalog.DropService{Name: "rate-desk"}}, catalog.CodeInUse},
		{catalog.Command{DropClass: &catalog.DropClass{Service: "rate-desk", Name: "x"}}, catalog.CodeUnknownClass},
		{catalog.Command{RemoveLeaf: &catalog.RemoveLeaf{Address: leafAddress}}, catalog.CodeInUse},
		{catalog.Command{RetireLeaf: &catalog.RetireLeaf{Address: netip.MustParseAddrPort("127.0.0.1:1")}}, catalog.CodeUnknownLeaf},
		{catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: "n2"}}, catalog.CodeUnknownVoter},
		{catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: "n1"}}, catalog.CodeInUse},
		{catalog.Command{}, catalog.CodeInvalid},
	}
	for _, c := range cases {
		if _, err := catalog.Apply(base, newChange(base.Revision+1, c.command)); !errors.Is(err, c.code) {
			t.Errorf("Apply(%s): got %v, want code %s", c.command, err, c.code)
		}
	}
	if _, err := catalog.Apply(base, newChange(base.Revision, retireLeaf())); !errors.Is(err, catalog.CodeRevision) {
		t.Errorf("change with an old revision: got %v, want code %s", err, catalog.CodeRevision)
	}
	repeated := newChange(base.Revision+1, retireLeaf())
	repeated.ID = "1-x"
	if _, err := catalog.Apply(base, repeated); !errors.Is(err, catalog.CodeDuplicate) {
		t.Errorf("change with a repeated id: got %v, want code %s", err, catalog.CodeDuplicate)
	}
}

func TestDecodeRefusesInvalidInput(t *testing.T) {
	for _, text := range []string{`{"revision":1,"colour":2}`, `{"revision":1} {}`, `[]`, ``} {
		if _, err := catalog.Decode([]byte(text)); err == nil {
			t.Errorf("Decode(%q) returned no error", text)
		}
	}
	for _, text := range []string{`{"revision":1,"id":"1-x","command":{}}`, `{"revision":0,"id":"1-x","command":{"stop_service":{"name":"a"}}}`} {
		if _, err := catalog.DecodeChange([]byte(text)); err == nil {
			t.Errorf("DecodeChange(%q) returned no error", text)
		}
	}
}

func TestRecentChangesAreBounded(t *testing.T) {
	current := buildCatalog(t, createService(8))
	for revision := uint64(2); revision <= catalog.RetainedChanges+5; revision++ {
		limit := catalog.Command{LimitService: &catalog.LimitService{Service: "rate-desk", Concurrency: int(revision)}}
		next, err := catalog.Apply(current, newChange(revision, limit))
		if err != nil {
			t.Fatal(err)
		}
		current = next
	}
	if len(current.Recent) != catalog.RetainedChanges || current.Recent[0].Revision != 6 {
		t.Errorf("Recent has %d changes from revision %d, want %d from revision 6", len(current.Recent), current.Recent[0].Revision, catalog.RetainedChanges)
	}
}
