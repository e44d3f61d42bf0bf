package catalog_test

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// drawCommand draws a command from a small set of names, so that commands of the same log refer to
// the same objects. Some of its numbers are out of range.
func drawCommand(t *rapid.T) catalog.Command {
	service := rapid.SampledFrom([]string{"rate-desk", "filing-vault", "Bad"}).Draw(t, "service")
	name := rapid.SampledFrom([]string{"a", "b", "c-1", "", "x y"}).Draw(t, "name")
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(rapid.IntRange(0, 3).Draw(t, "port")))
	number := rapid.OneOf(rapid.IntRange(0, 8), rapid.IntRange(catalog.MaximumShards, catalog.MaximumShards+1)).Draw(t, "number")
	share := rapid.OneOf(rapid.Float64Range(0, 1), rapid.Float64(), rapid.SampledFrom([]float64{0, 1, 0.95, 0.999})).Draw(t, "share")
	class := catalog.Class{
		Name: name, Service: service, Priority: number,
		Deadline: time.Duration(rapid.Int64Range(-1, int64(catalog.MaximumDeadline)).Draw(t, "deadline")),
		Coverage: share, ExtraLoad: share / 2, Repeatable: number%2 == 0,
	}
	if class.Repeatable {
		class.HedgePercentile = share
	}
	shards := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 4).Draw(t, "shards")
	return rapid.SampledFrom([]catalog.Command{
		{CreateService: &catalog.CreateService{Name: service, Shards: number, Replicas: 2, KeyColumn: "quote"}},
		{CreateService: &catalog.CreateService{Name: service, Shards: 8, Replicas: number}},
		{DropService: &catalog.DropService{Name: service}},
		{Repartition: &catalog.Repartition{Service: service, Shards: number}},
		{DefineClass: &catalog.DefineClass{Class: class}},
		{DropClass: &catalog.DropClass{Service: service, Name: name}},
		{AddLeaf: &catalog.AddLeaf{Service: service, Address: address, Zone: name, Shards: shards}},
		{RetireLeaf: &catalog.RetireLeaf{Address: address}},
		{RemoveLeaf: &catalog.RemoveLeaf{Address: address}},
		{LimitService: &catalog.LimitService{Service: service, Concurrency: number}},
		{StopService: &catalog.StopService{Name: service}},
		{StartService: &catalog.StartService{Name: service}},
		{AddVoter: &catalog.AddVoter{Voter: catalog.Voter{Name: name, Zone: "a"}}},
		{RemoveVoter: &catalog.RemoveVoter{Name: name}},
		{},
	}).Draw(t, "command")
}

// TestApplyProperties checks with random logs that Apply leaves its input unmodified, increases the
// revision by one and refuses with a typed error, and that replaying the encoded changes results in
// the same digest.
func TestApplyProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := catalog.Empty()
		var log [][]byte
		for range rapid.IntRange(1, 40).Draw(t, "length") {
			before := mustEncode(t, current)
			change := newChange(current.Revision+1, drawCommand(t))
			next, err := catalog.Apply(current, change)
			if !bytes.Equal(before, mustEncode(t, current)) {
				t.Fatalf("Apply(%s) modified its input catalog", change.Command)
			}
			if err != nil {
				requireTypedError(t, next, err)
				continue
			}
			if next.Revision != current.Revision+1 {
				t.Fatalf("revision changed from %d to %d, want an increase by one", current.Revision, next.Revision)
			}
			if applied, remembered := next.Lookup(change.ID); !remembered || applied.Revision != next.Revision {
				t.Fatalf("Lookup(%q) = %+v, want the applied change", change.ID, applied)
			}
			encoded, err := catalog.EncodeChange(change)
			if err != nil {
				t.Fatal(err)
			}
			log = append(log, encoded)
			current = next
		}
		requireSameDigestAfterReplay(t, log, current)
	})
}

// TestStatementRoundTrip checks that the text of a valid command parses to an equal command, with
// shares of any precision.
func TestStatementRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1)
		class := catalog.Class{
			Name: "spot-check", Service: "rate-desk", Priority: 1, Repeatable: true,
			Deadline:        time.Duration(rapid.Int64Range(1, int64(catalog.MaximumDeadline)).Draw(t, "deadline")),
			Coverage:        share.Draw(t, "coverage"),
			HedgePercentile: share.Draw(t, "percentile"),
			ExtraLoad:       share.Draw(t, "extra"),
		}
		requireStatementRoundTrip(t, catalog.Command{DefineClass: &catalog.DefineClass{Class: class}})
		if command := drawCommand(t); command.Validate() == nil {
			requireStatementRoundTrip(t, command)
		}
	})
}

// requireStatementRoundTrip checks that the text of the command parses to an equal command.
func requireStatementRoundTrip(t *rapid.T, command catalog.Command) {
	statement, err := language.ParseStatement(command.String())
	if err != nil {
		t.Fatalf("ParseOne(%q): %v", command, err)
	}
	if change := statement.(*language.ChangeStatement); !reflect.DeepEqual(change.Command, command) {
		t.Fatalf("%s parsed to %s, want an equal command", command, change.Command)
	}
}

func requireTypedError(t *rapid.T, next *catalog.Catalog, err error) {
	var refused *catalog.Error
	if next != nil || !errors.As(err, &refused) || !errors.Is(err, refused.Code) || refused.Message == "" {
		t.Fatalf("Apply returned catalog %v and error %#v, want no catalog and a typed error", next, err)
	}
}

func requireSameDigestAfterReplay(t *rapid.T, log [][]byte, want *catalog.Catalog) {
	replayed := catalog.Empty()
	for _, encoded := range log {
		change, err := catalog.DecodeChange(encoded)
		if err != nil {
			t.Fatal(err)
		}
		if replayed, err = catalog.Apply(replayed, change); err != nil {
			t.Fatal(err)
		}
	}
	decoded, err := catalog.Decode(mustEncode(t, want))
	if err != nil {
		t.Fatal(err)
	}
	if replayed.Digest() != want.Digest() || decoded.Digest() != want.Digest() {
		t.Fatalf("digests differ: replayed %x, decoded %x, want %x", replayed.Digest(), decoded.Digest(), want.Digest())
	}
}
