package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/decide/retryafter"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/edge/route"
	"github.com/micaplank/micaplank/internal/scatter"
)

// fakeScatterer returns a fixed result and records the request.
type fakeScatterer struct {
	last   scatter.Request[*Request]
	result scatter.Result[Part]
}

func (f *fakeScatterer) Execute(_ context.Context, request scatter.Request[*Request]) scatter.Result[Part] {
	f.last = request
	return f.result
}

// manualClock is a Clock that the test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// admitAll is a Quarantine that admits every request.
type admitAll struct{}

func (admitAll) Admit(context.Context, quarantine.Content) Admission { return Admission{} }
func (admitAll) RecordExecution(quarantine.Content, Execution)       {}

func newForwarder(result scatter.Result[Part]) (*Forwarder, *fakeScatterer) {
	scatterer := &fakeScatterer{result: result}
	forwarder := New(Config{
		HedgeShare: 0.5, HedgePercentile: 0.9, ExtraLoad: 0.2,
		ClientAllowance: 10 * time.Millisecond, Clock: &manualClock{},
	}, scatterer, admitAll{}, registry.NewIndex())
	forwarder.Install(route.NewTable(newTestConfig(5)))
	forwarder.SetFresh(true)
	return forwarder, scatterer
}

func newTestConfig(version uint64) *route.Config {
	return &route.Config{Version: version, Routes: []route.Route{
		{Name: "sweep", Host: "h", Prefix: "/sweep/", Repeatable: true, Timeout: time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 2, Shards: []string{"a", "b", "c"}, TopK: 1, MinCoverage: 0.6},
		{Name: "one", Host: "h", Prefix: "/one/", Timeout: time.Second, Objective: 200 * time.Millisecond,
			MaxAttempts: 1, Targets: []route.Target{{Service: "v", Weight: 1}}},
	}}
}

func newSweepRequest() *Request {
	return &Request{ID: "1", Host: "h", Path: "/sweep/x", ClientTimeout: 800 * time.Millisecond}
}

func partialResult(count int) scatter.Result[Part] {
	result := scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomePartial, Reason: dispatch.ReasonDeadline}}
	for shard := range count {
		result.Parts = append(result.Parts, scatter.ShardPart[Part]{Shard: shard, Part: Part{
			Status: 200, Body: []byte("0123456789abcde" + string(rune('0'+shard))), Signature: string(rune('A' + shard)),
		}})
	}
	return result
}

func TestPlanForMultiShardRequest(t *testing.T) {
	forwarder, scatterer := newForwarder(partialResult(3))
	forwarder.Execute(context.Background(), newSweepRequest())
	last := scatterer.last
	if len(last.Shards) != 3 || last.Timeout != 800*time.Millisecond || last.Objective != 190*time.Millisecond ||
		last.MaximumSends != 2 || last.MinimumCoverage != 0.6 || !last.Class.Repeatable {
		t.Errorf("planned query %+v, want 3 shards, timeout 800ms, objective 190ms, 2 sends, coverage 0.6, repeatable", last)
	}
	late := newSweepRequest()
	late.ClientTimeout = 500 * time.Millisecond
	forwarder.Execute(context.Background(), late)
	if scatterer.last.Objective != 0 {
		t.Errorf("objective %v for a client whose objective has passed, want 0", scatterer.last.Objective)
	}
}

func TestMultiShardAnswer(t *testing.T) {
	forwarder, _ := newForwarder(partialResult(2))
	answer := forwarder.Execute(context.Background(), newSweepRequest())
	if answer.Fate != FateMerged || string(answer.Body) != "0123456789abcde1" || answer.Missing != 1 ||
		!slices.Equal(answer.Signatures, []string{"A", "B"}) || answer.Version != 5 {
		t.Errorf("answer %+v, want shards A and B merged, 1 missing, version 5", answer)
	}
	forwarder, _ = newForwarder(partialResult(1))
	if answer := forwarder.Execute(context.Background(), newSweepRequest()); answer.Fate != FateLate {
		t.Errorf("answer below the minimum coverage: %+v, want fate %s", answer, FateLate)
	}
}

func TestSingleShardFate(t *testing.T) {
	request := &Request{ID: "1", Host: "h", Path: "/one/x"}
	for _, test := range []struct {
		result scatter.Result[Part]
		want   Fate
	}{
		{scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: dispatch.ReasonDeadline}}, FateNotRun},
		{scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeUnknown, Reason: dispatch.ReasonConnectionLost}}, FateFailed},
		{scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeFailed, Reason: dispatch.ReasonDeadline}}, FateLate},
		{scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeUnknown}, HasFailure: true, Failure: Part{Status: 500}}, FateAnswered},
		{partialResult(1), FateAnswered},
	} {
		forwarder, _ := newForwarder(test.result)
		if answer := forwarder.Execute(context.Background(), request); answer.Fate != test.want {
			t.Errorf("%+v: fate %s, want %s", test.result.Finish, answer.Fate, test.want)
		}
	}
}

func TestInstallRejectsOlderVersion(t *testing.T) {
	forwarder, _ := newForwarder(partialResult(3))
	for _, test := range []struct {
		version   uint64
		installed bool
	}{{4, false}, {5, false}, {9, true}, {6, false}} {
		if installed := forwarder.Install(route.NewTable(newTestConfig(test.version))); installed != test.installed {
			t.Errorf("version %d: installed %v, want %v", test.version, installed, test.installed)
		}
	}
	if got := forwarder.Table().Config.Version; got != 9 {
		t.Errorf("version %d in force, want 9", got)
	}
}

// TestRetryAfterDuringStoreOutage checks the retry time of a node without a configuration: during
// an outage of the store a configuration cannot arrive soon, so the client is told to wait longer.
func TestRetryAfterDuringStoreOutage(t *testing.T) {
	empty := New(Config{}, nil, admitAll{}, registry.NewIndex())
	for _, test := range []struct {
		outage bool
		want   time.Duration
	}{{false, retryafter.StoreReadDelay}, {true, retryafter.StoreOutageDelay}, {false, retryafter.StoreReadDelay}} {
		empty.SetOutage(test.outage)
		if answer := empty.Execute(context.Background(), newSweepRequest()); answer.Fate != FateNotRun || answer.RetryAfter != test.want {
			t.Errorf("outage %v: answer %+v, want fate %s, retry after %v", test.outage, answer, FateNotRun, test.want)
		}
	}
}

func TestNoRouteRequiresFreshConfiguration(t *testing.T) {
	forwarder, _ := newForwarder(partialResult(3))
	unknown := &Request{ID: "1", Host: "h", Path: "/nowhere/"}
	if answer := forwarder.Execute(context.Background(), unknown); answer.Fate != FateNoRoute {
		t.Errorf("fresh configuration: fate %s, want %s", answer.Fate, FateNoRoute)
	}
	forwarder.SetFresh(false)
	if answer := forwarder.Execute(context.Background(), unknown); answer.Fate != FateNotRun || answer.RetryAfter <= 0 {
		t.Errorf("stale configuration: answer %+v, want fate %s with a retry time", answer, FateNotRun)
	}
	empty := New(Config{}, nil, admitAll{}, registry.NewIndex())
	empty.SetFresh(true)
	if answer := empty.Execute(context.Background(), unknown); answer.Fate != FateNotRun || answer.RetryAfter <= 0 {
		t.Errorf("no configuration: answer %+v, want fate %s with a retry time", answer, FateNotRun)
	}
}

// TestRetryAfterWithoutLeaf checks that a client is told to wait if no leaf is available, whether
// that holds for one service or for all: an immediate retry would fail the same way.
func TestRetryAfterWithoutLeaf(t *testing.T) {
	for _, reason := range []dispatch.Reason{dispatch.ReasonNoLeaf, dispatch.ReasonNoSnapshot} {
		noLeaf := scatter.Result[Part]{Finish: dispatch.Finish{Outcome: dispatch.OutcomeNotRun, Reason: reason, Total: 3}}
		forwarder, _ := newForwarder(noLeaf)
		if answer := forwarder.Execute(context.Background(), newSweepRequest()); answer.Fate != FateNotRun || answer.RetryAfter != retryafter.StoreReadDelay {
			t.Errorf("%s: answer %+v, want fate %s, retry after %v", reason, answer, FateNotRun, retryafter.StoreReadDelay)
		}
	}
}

// TestClientTimeoutExcludesTimeOnNode checks that time spent on this node is subtracted from the
// client's timeout. A suspension counts too: a request that was read before the suspension is
// planned with the time that its client has left.
func TestClientTimeoutExcludesTimeOnNode(t *testing.T) {
	for _, test := range []struct{ spent, left time.Duration }{
		{0, 800 * time.Millisecond}, {300 * time.Millisecond, 500 * time.Millisecond}, {time.Minute, time.Millisecond},
	} {
		forwarder, scatterer := newForwarder(partialResult(3))
		forwarder.config.Clock = &manualClock{now: time.Hour + test.spent}
		request := newSweepRequest()
		request.ArrivedAt = time.Hour
		forwarder.Execute(context.Background(), request)
		if got := scatterer.last.Timeout; got != test.left {
			t.Errorf("timeout %v after %v on the node, want %v", got, test.spent, test.left)
		}
		if test.spent > 0 && scatterer.last.Objective > 0 && scatterer.last.Objective > 200*time.Millisecond-test.spent {
			t.Errorf("objective %v after %v on the node, want at most %v", scatterer.last.Objective, test.spent, 200*time.Millisecond-test.spent)
		}
	}
}
