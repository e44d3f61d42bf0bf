package node

import (
	"maps"
	"testing"

	"github.com/micaplank/micaplank/internal/decide/warmup"
	"github.com/micaplank/micaplank/internal/edge/route"
)

func TestFindColdBounds(t *testing.T) {
	config := &route.Config{
		Services: []route.Service{{Name: "free"}, {Name: "shard", ColdRate: 8}, {Name: "vault", ColdRate: 20}},
		Routes:   []route.Route{{Shards: []string{"free", "shard"}}, {Targets: []route.Target{{Service: "vault"}}}},
	}
	want := map[string]warmup.LeafRate{"shard": {PerSecond: 8, Shard: true}, "vault": {PerSecond: 20}}
	if got := findColdBounds(config, findShardServices(config)); !maps.Equal(got, want) {
		t.Errorf("cold bounds: got %v, want %v", got, want)
	}
}
