package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/edge/forward"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
	"github.com/micaplank/micaplank/internal/settings"
	"github.com/micaplank/micaplank/internal/telemetry"
)

// keyDecoder decodes the keys "config", whose value is the service of its only route, and
// "leaf/SERVICE".
type keyDecoder struct{}

func (keyDecoder) Prefix() string               { return "" }
func (keyDecoder) RolloutService(string) string { return "" }

func (keyDecoder) RolloutOrder(mirror.Item) (rollout.Order, error) { return rollout.Order{}, nil }

func (keyDecoder) RolloutRecord(mirror.Item) (rollout.Record, error) { return rollout.Record{}, nil }

func (keyDecoder) QuarantinedContent(string) (quarantine.Content, error) {
	return quarantine.Content{}, nil
}

func (keyDecoder) QuarantineRecord(mirror.Item) (quarantine.StoredRecord, error) {
	return quarantine.StoredRecord{}, nil
}

func (keyDecoder) CordonedZone(string) string    { return "" }
func (keyDecoder) NodePrefix() string            { return "node/" }
func (keyDecoder) NodeName(key string) string    { return key }
func (keyDecoder) NodeKey(name, _ string) string { return "node/" + name }

func (keyDecoder) Kind(key string) Kind {
	if key == "config" {
		return KindConfig
	}
	return KindLeaf
}

func (keyDecoder) Config(item mirror.Item) (*route.Config, error) {
	service := string(item.Value)
	return &route.Config{
		Version:  item.Revision,
		Services: []route.Service{{Name: service}},
		Routes: []route.Route{{
			Name: "all", Host: "host", Prefix: "/", Repeatable: true, Timeout: time.Second, MaxAttempts: 1,
			Targets: []route.Target{{Service: service, Weight: 1}},
		}},
	}, nil
}

func (keyDecoder) LeafID(key string) (string, error) { return strings.TrimPrefix(key, "leaf/"), nil }

func (keyDecoder) Leaf(item mirror.Item) (registry.Leaf, error) {
	service := strings.TrimPrefix(item.Key, "leaf/")
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(len(service)))
	return registry.Leaf{ID: service, Service: service, Address: address, Slots: 1, Written: item.Position()}, nil
}

// servingLeaves answers each attempt.
type servingLeaves struct{}

func (servingLeaves) Execute(_ context.Context, attempt scatter.Attempt[*forward.Request]) (*scatter.Response[forward.Part], error) {
	return &scatter.Response[forward.Part]{
		Executed: true, Shard: attempt.Shard, Snapshot: attempt.Snapshot, BootID: attempt.BootID,
		Part: forward.Part{Status: http.StatusOK},
	}, nil
}

// logHook calls a function for each log line.
type logHook struct{ handle func() }

func (logHook) Enabled(context.Context, slog.Level) bool    { return true }
func (h logHook) Handle(context.Context, slog.Record) error { h.handle(); return nil }
func (h logHook) WithAttrs([]slog.Attr) slog.Handler        { return h }
func (h logHook) WithGroup(string) slog.Handler             { return h }

// TestReadyNodeHasLeavesOfConfiguration guards against a node that reports that it is ready while
// the leaves of the configuration in force are not published yet: it would refuse requests for want
// of leaves. A request is sent at each line that is logged while the store is read.
func TestReadyNodeHasLeavesOfConfiguration(t *testing.T) {
	var n *Node
	executing, served, publications := false, 0, 0
	logger := slog.New(logHook{handle: func() {
		if executing || !n.isReady() {
			return
		}
		executing = true
		defer func() { executing = false }()
		answer := n.Execute(t.Context(), &forward.Request{ID: "r", Host: "host", Path: "/"})
		if answer.Fate != forward.FateAnswered {
			t.Errorf("request to a ready node: got answer %+v, want fate %q", answer, forward.FateAnswered)
			return
		}
		served++
	}})
	n = New(settings.Defaults(), Ports{
		Decoder:      keyDecoder{},
		Leaves:       servingLeaves{},
		OnLeafShares: func([]LeafShare) { publications++ },
	}, telemetry.NewRegistry("test"), logger)
	sink := n.follower
	sink.Replace([]mirror.Item{
		{Key: "config", Value: []byte("desk"), Revision: 2},
		{Key: "leaf/desk", Revision: 1},
	}, mirror.ReadInfo{})
	if served == 0 || publications != 1 {
		t.Errorf("after the first read: got %d requests answered, %d topologies published; want at least 1 and exactly 1", served, publications)
	}
	served = 0
	sink.Replace([]mirror.Item{
		{Key: "config", Value: []byte("board"), Revision: 4},
		{Key: "leaf/board", Revision: 3},
		{Key: "leaf/desk", Revision: 1},
	}, mirror.ReadInfo{Gap: true})
	if served == 0 {
		t.Error("after the second read: got no request answered, want at least 1")
	}
}

// TestStoreUpMetricAfterFirstRead checks that a read of the store sets the metric, and that a stale
// copy of another node does not.
func TestStoreUpMetricAfterFirstRead(t *testing.T) {
	for _, test := range []struct {
		read mirror.ReadInfo
		want float64
	}{{mirror.ReadInfo{}, 1}, {mirror.ReadInfo{Stale: true}, 0}} {
		n := New(settings.Defaults(), Ports{
			Decoder: keyDecoder{}, Leaves: servingLeaves{}, OnLeafShares: func([]LeafShare) {},
		}, telemetry.NewRegistry("test"), slog.New(slog.DiscardHandler))
		n.follower.Replace([]mirror.Item{{Key: "leaf/desk", Revision: 1}}, test.read)
		if got := testutil.ToFloat64(n.metrics.storeUp); got != test.want {
			t.Errorf("store_up after a read with %+v: got %v, want %v", test.read, got, test.want)
		}
	}
}
