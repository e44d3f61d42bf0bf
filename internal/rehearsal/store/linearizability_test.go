package store_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	fakestore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
	"github.com/micaplank/micaplank/internal/settings"
)

// clientCall is one operation on a key: a read, or a write that succeeds only if the key has the
// expected mod revision. Every write has a unique value.
type clientCall struct {
	key              string
	isRead           bool
	expectedRevision int64
	value            string
}

// callResult is the result of a call. It is unknown if a failed write may have been applied.
type callResult struct {
	unknown, written bool
	existing         store.Entry
	revision         int64
}

// registerState is the model state of one key.
type registerState struct {
	value    string
	revision int64
}

// stepRegister reports whether a result is possible in a state, and returns the next state.
func stepRegister(state, input, output any) (bool, any) {
	current, in, out := state.(registerState), input.(clientCall), output.(callResult)
	if out.written {
		return current.revision == in.expectedRevision, registerState{in.value, out.revision}
	}
	matchesState := string(out.existing.Value) == current.value && out.existing.ModRevision == current.revision
	writeSkipped := in.isRead || current.revision != in.expectedRevision
	return matchesState && writeSkipped, current
}

// resolveUnknownWrites gives each write with an unknown result a definite one. Values are unique,
// and a client overwrites a value only after it has read the revision of that value. Therefore a
// write whose value was never read can be omitted, and a write whose value was read took effect
// before the first call that read it returned.
func resolveUnknownWrites(history []porcupine.Operation) ([]porcupine.Operation, error) {
	type observation struct{ revision, returned int64 }
	observations := map[string]observation{}
	for _, operation := range history {
		out := operation.Output.(callResult)
		if out.unknown || out.existing.ModRevision == 0 {
			continue
		}
		value := string(out.existing.Value)
		first, seen := observations[value]
		if seen && first.revision != out.existing.ModRevision {
			return nil, fmt.Errorf("%s was written at %d and at %d", value, first.revision, out.existing.ModRevision)
		}
		if !seen || operation.Return < first.returned {
			observations[value] = observation{out.existing.ModRevision, operation.Return}
		}
	}
	var resolved []porcupine.Operation
	for _, operation := range history {
		if operation.Output.(callResult).unknown {
			first, seen := observations[operation.Input.(clientCall).value]
			if !seen {
				continue
			}
			operation.Output = callResult{written: true, revision: first.revision}
			operation.Return = first.returned
		}
		resolved = append(resolved, operation)
	}
	return resolved, nil
}

func checkLinearizability(history []porcupine.Operation) porcupine.CheckResult {
	resolved, err := resolveUnknownWrites(history)
	if err != nil {
		return porcupine.Illegal
	}
	return porcupine.CheckOperationsTimeout(registerModel, resolved, time.Minute)
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(clientCall).key
			byKey[key] = append(byKey[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init:              func() any { return registerState{} },
	Step:              stepRegister,
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// bug is an injected fault that the linearizability check must detect.
type bug struct {
	ignoreCompares     bool // the store applies writes even if their compare fails
	retryLostWrites    bool // the client retries a write whose reply was lost
	reportLostAsFailed bool // the client reports a write whose reply was lost as not applied
}

// recorder records the history of all clients.
type recorder struct {
	bug          bug
	started      time.Time
	mutex        sync.Mutex
	history      []porcupine.Operation
	countsByKind map[store.Kind]int
}

func (r *recorder) record(client int, in clientCall, called time.Duration, out callResult, err error) {
	returned := time.Since(r.started)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.countsByKind[store.ErrorKind(err)]++
	if err != nil {
		if in.isRead || !store.MaybeApplied(err) || r.bug.reportLostAsFailed {
			return // the client reports that the call had no effect
		}
		out = callResult{unknown: true}
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(called), Output: out, Return: int64(returned),
	})
}

const (
	clientCount    = 4
	callsPerClient = 60
)

// runRandomClient makes random calls. Each write expects the revision that the client last
// observed, or with a probability of 1 in 5 that the key does not exist.
func (r *recorder) runRandomClient(number int, client *store.Client, random *rand.Rand) {
	seen := map[string]int64{}
	for callNumber := range callsPerClient {
		in := clientCall{key: []string{"x", "y"}[random.IntN(2)], value: fmt.Sprintf("%d-%d", number, callNumber)}
		in.isRead = random.IntN(4) == 0
		if in.expectedRevision = seen[in.key]; random.IntN(5) == 0 {
			in.expectedRevision = 0
		}
		var out callResult
		called := time.Since(r.started)
		var err error
		if in.isRead {
			var result store.RangeResult
			if result, err = client.Range(ctx, in.key, "", 0); err == nil && len(result.Entries) == 1 {
				out.existing = result.Entries[0]
			}
		} else {
			var result store.SwapResult
			result, err = client.CompareAndSwap(ctx, in.key, in.expectedRevision, []byte(in.value))
			if r.bug.retryLostWrites && store.MaybeApplied(err) {
				result, err = client.CompareAndSwap(ctx, in.key, in.expectedRevision, []byte(in.value))
			}
			out = callResult{written: result.Swapped, existing: result.Existing, revision: result.StoreRevision}
		}
		r.record(number, in, called, out, err)
		if err == nil {
			seen[in.key] = max(out.existing.ModRevision, 0)
			if out.written {
				seen[in.key] = out.revision
			}
		}
	}
}

// injectRandomFaults replaces the faults every 1 to 3 ms until stopped is closed.
func injectRandomFaults(server *fakestore.Server, random *rand.Rand, stopped <-chan struct{}) {
	faults := []fakestore.Faults{
		{LoseReplies: 2}, {LoseReplies: 2, Delay: settings.Duration(time.Millisecond)}, {Outage: fakestore.OutageClose},
		{Outage: fakestore.OutageUnavailable}, {Outage: fakestore.OutageHang}, {RatePerSecond: 2000, Burst: 3}, {},
	}
	for {
		select {
		case <-stopped:
			return
		case <-time.After(time.Duration(1+random.IntN(3)) * time.Millisecond):
			server.SetFaults(faults[random.IntN(len(faults))])
		}
	}
}

// recordHistory runs clients against a store with random faults and returns the recorded history.
func recordHistory(t *testing.T, seed uint64, injected bug) *recorder {
	server, _ := startStoreAndClient(t, nil)
	if injected.ignoreCompares {
		server.IgnoreCompares()
	}
	recorder := &recorder{bug: injected, started: time.Now(), countsByKind: map[store.Kind]int{}}
	stopped := make(chan struct{})
	var faultInjection, clients sync.WaitGroup
	faultInjection.Go(func() { injectRandomFaults(server, rand.New(rand.NewPCG(seed, 0)), stopped) })
	for number := range clientCount {
		client := connect(t, server, 20*time.Millisecond)
		random := rand.New(rand.NewPCG(seed, uint64(number)+1))
		clients.Go(func() { recorder.runRandomClient(number, client, random) })
	}
	clients.Wait()
	close(stopped)
	faultInjection.Wait()
	return recorder
}

func TestHistoriesAreLinearizable(t *testing.T) {
	countsByKind := map[store.Kind]int{}
	for seed := range uint64(8) {
		recorder := recordHistory(t, seed, bug{})
		if result := checkLinearizability(recorder.history); result != porcupine.Ok {
			t.Fatalf("seed %d: linearizability check returned %s, want %s", seed, result, porcupine.Ok)
		}
		for kind, count := range recorder.countsByKind {
			countsByKind[kind] += count
		}
	}
	t.Logf("calls by error kind (\"\" is success): %v", countsByKind)
}

func TestLinearizabilityCheckDetectsInjectedBugs(t *testing.T) {
	for name, injected := range map[string]bug{
		"compares ignored":    {ignoreCompares: true},
		"lost write repeated": {retryLostWrites: true},
		"lost write denied":   {reportLostAsFailed: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				if checkLinearizability(recordHistory(t, seed, injected).history) == porcupine.Illegal {
					return
				}
			}
			t.Fatal("all 20 histories with the injected bug are linearizable, want at least one violation")
		})
	}
}
