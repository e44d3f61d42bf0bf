package catalog_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/micaplank/micaplank/internal/catalog"
)

// largeCatalog returns a catalog with the given number of services of 760 leaves each and with
// RetainedChanges entries in Recent.
func largeCatalog(b *testing.B, services int) *catalog.Catalog {
	const leaves = 760
	current := catalog.Empty()
	apply := func(command catalog.Command) {
		next, err := catalog.Apply(current, newChange(current.Revision+1, command))
		if err != nil {
			b.Fatal(err)
		}
		current = next
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		apply(catalog.Command{CreateService: &catalog.CreateService{Name: name, Shards: leaves, Replicas: 2}})
		for leaf := range leaves {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i), byte(leaf >> 8), byte(leaf)}), 7101)
			apply(catalog.Command{AddLeaf: &catalog.AddLeaf{Service: name, Address: address, Zone: "a", Shards: []int{leaf, (leaf + 1) % leaves}}})
		}
	}
	return current
}

// BenchmarkApply applies one change to a catalog of 19,000 leaves.
func BenchmarkApply(b *testing.B) {
	current := largeCatalog(b, 25)
	commands := map[string]catalog.Command{
		"limit":       {LimitService: &catalog.LimitService{Service: "service-7", Concurrency: 40}},
		"retire-leaf": {RetireLeaf: &catalog.RetireLeaf{Address: netip.MustParseAddrPort("10.7.0.1:7101")}},
	}
	for name, command := range commands {
		change := newChange(current.Revision+1, command)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := catalog.Apply(current, change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkEncode encodes a checkpoint of a catalog of 19,000 leaves.
func BenchmarkEncode(b *testing.B) {
	current := largeCatalog(b, 25)
	b.ReportAllocs()
	for b.Loop() {
		encoded, err := catalog.Encode(current)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(encoded)))
	}
}
