package route

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func validRoute() Route {
	return Route{
		Name: "lookup", Host: "a.example", Prefix: "/x/", Timeout: time.Second, MaxAttempts: 1,
		Targets: []Target{{Service: "vault", Weight: 1}},
	}
}

func TestValidate(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Route)
		want   string // substring of the error; empty for none
	}{
		{"valid", func(*Route) {}, ""},
		{"no host", func(r *Route) { r.Host = "" }, "host"},
		{"prefix without slash", func(r *Route) { r.Prefix = "/x" }, "prefix"},
		{"no timeout", func(r *Route) { r.Timeout = 0 }, "timeout"},
		{"no attempts", func(r *Route) { r.MaxAttempts = 0 }, "attempts"},
		{"neither targets nor shards", func(r *Route) { r.Targets = nil }, "either"},
		{"both", func(r *Route) { r.Shards = []string{"a"} }, "either"},
		{"weights of zero", func(r *Route) { r.Targets[0].Weight = 0 }, "weight"},
		{"negative weight", func(r *Route) { r.Targets[0].Weight = -1 }, "weight"},
		{"shards that may not be repeated", func(r *Route) { r.Targets, r.Shards, r.TopK = nil, []string{"a"}, 1 }, "repeatable"},
		{"no records", func(r *Route) { r.Targets, r.Shards, r.Repeatable = nil, []string{"a"}, true }, "records"},
		{"a shard twice", func(r *Route) {
			r.Targets, r.Shards, r.Repeatable, r.TopK = nil, []string{"a", "a"}, true, 1
		}, "once"},
		{"coverage above one", func(r *Route) { r.MinCoverage = 1.5 }, "coverage"},
	} {
		route := validRoute()
		test.change(&route)
		err := (&Config{Version: 1, Routes: []Route{route}}).Validate()
		if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that contains %q", test.name, err, test.want)
		}
	}
	if err := (&Config{}).Validate(); err == nil {
		t.Error("version 0: got no error")
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	config := &Config{Version: 1}
	for _, hostAndPrefix := range [][2]string{{"a.example", "/"}, {"a.example", "/x/"}, {"a.example", "/x/y/"}, {"b.example", "/z/"}} {
		config.Routes = append(config.Routes, Route{Name: hostAndPrefix[0] + hostAndPrefix[1], Host: hostAndPrefix[0], Prefix: hostAndPrefix[1]})
	}
	table := NewTable(config)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "a.example/x/y/"},
		{"A.Example:8080", "/x/yy", "a.example/x/"},
		{"a.example", "/xx", "a.example/"},
		{"b.example", "/z/", "b.example/z/"},
		{"b.example", "/z", ""},
		{"c.example", "/x/", ""},
	} {
		matched, ok := table.Match(test.host, test.path)
		if ok != (test.want != "") || ok && matched.Name != test.want {
			t.Errorf("%s%s: got route %+v, want %q", test.host, test.path, matched, test.want)
		}
	}
}

// TestSplitterFollowsTheWeights checks that after any number of requests, each target's count
// differs from its share by at most one request for each target.
func TestSplitterFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 1, 5).Draw(t, "weights")
		route := &Route{Name: "r"}
		total := 0
		for index, weight := range weights {
			route.Targets = append(route.Targets, Target{Service: string(rune('a' + index)), Weight: float64(weight)})
			total += weight
		}
		splitter := NewSplitter(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "start position") })
		counts := make(map[string]int)
		requests := rapid.IntRange(1, 200).Draw(t, "requests")
		for range requests {
			counts[splitter.PickService(route)]++
		}
		for index, weight := range weights {
			share := float64(requests*weight) / float64(total)
			if got := float64(counts[string(rune('a'+index))]); math.Abs(got-share) > float64(len(weights)) {
				t.Fatalf("target %d: got %v of %d requests, want about %.1f", index, got, requests, share)
			}
		}
	})
}

// TestSplittersOfManyNodesFollowTheWeights guards against nodes that all begin with the heaviest
// target: with a few requests at each node, the lighter ones would get none.
func TestSplittersOfManyNodesFollowTheWeights(t *testing.T) {
	const nodes = 76
	random := rand.New(rand.NewPCG(1, 2))
	for _, weight := range []float64{0.05, 0.1, 0.2, 0.5} {
		for _, requests := range []int{1, 2, 4, 9} { // per node
			route := &Route{Name: "r", Targets: []Target{{"new", weight}, {"old", 1 - weight}}}
			count := 0
			for range nodes {
				splitter := NewSplitter(random.IntN)
				for range requests {
					if splitter.PickService(route) == "new" {
						count++
					}
				}
			}
			got := float64(count) / float64(nodes*requests)
			if allowed := 1.5 / math.Sqrt(nodes); math.Abs(got-weight) > allowed*math.Sqrt(weight) {
				t.Errorf("%d requests per node: got a share of %.3f, want about %.2f", requests, got, weight)
			}
		}
	}
}

func TestSplitterForgetsDroppedRoutes(t *testing.T) {
	splitter := NewSplitter(rand.IntN)
	route := Route{Name: "r", Targets: []Target{{"a", 1}, {"b", 1}}}
	splitter.PickService(&route)
	splitter.Retain(&Config{})
	if len(splitter.routes) != 0 {
		t.Error("state of a dropped route is kept")
	}
}
