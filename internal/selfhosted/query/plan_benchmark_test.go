package query

import (
	"testing"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// BenchmarkPlan plans a select that is in the statement cache.
func BenchmarkPlan(b *testing.B) {
	cache := newStatementCache()
	current := exampleCatalog()
	request := api.QueryRequest{
		RequestID: "r", Class: "sweep",
		Statement: "select lane, carrier, price from rate-desk where lane = 'OTR-SPK' and weight <= 900 order by price limit 3",
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := newPlan(cache, current, "rate-desk", request); err != nil {
			b.Fatal(err)
		}
	}
}
