package store_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	standin "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
	"github.com/micaplank/micaplank/internal/settings"
)

// call is one operation on a key: a read, or a write if the key's mod revision
// is the expected one. Values are unique.
type call struct {
	key      string
	read     bool
	expected int64
	value    string
}

// answer is what a call returned; unknown if it may have been applied.
type answer struct {
	unknown, written bool
	found            store.Entry
	revision         int64
}

// register is the state of one key.
type register struct {
	value    string
	revision int64
}

func step(state, input, output any) (bool, any) {
	now, in, out := state.(register), input.(call), output.(answer)
	if out.written {
		return now.revision == in.expected, register{in.value, out.revision}
	}
	same := string(out.found.Value) == now.value && out.found.ModRevision == now.revision
	refused := in.read || now.revision != in.expected
	return same && refused, now
}

// resolve settles the writes without a reply. Values are unique, and a value
// is only overwritten by a client that has seen its revision. So a write whose
// value nobody saw can be left out, and one that was seen took effect before
// the first call that saw it returned.
func resolve(history []porcupine.Operation) ([]porcupine.Operation, error) {
	type sighting struct{ revision, returned int64 }
	sightings := map[string]sighting{}
	for _, operation := range history {
		out := operation.Output.(answer)
		if out.unknown || out.found.ModRevision == 0 {
			continue
		}
		value := string(out.found.Value)
		first, seen := sightings[value]
		if seen && first.revision != out.found.ModRevision {
			return nil, fmt.Errorf("%s was written at %d and at %d", value, first.revision, out.found.ModRevision)
		}
		if !seen || operation.Return < first.returned {
			sightings[value] = sighting{out.found.ModRevision, operation.Return}
		}
	}
	var settled []porcupine.Operation
	for _, operation := range history {
		if operation.Output.(answer).unknown {
			first, seen := sightings[operation.Input.(call).value]
			if !seen {
				continue
			}
			operation.Output = answer{written: true, revision: first.revision}
			operation.Return = first.returned
		}
		settled = append(settled, operation)
	}
	return settled, nil
}

func check(history []porcupine.Operation) porcupine.CheckResult {
	settled, err := resolve(history)
	if err != nil {
		return porcupine.Illegal
	}
	return porcupine.CheckOperationsTimeout(registerModel, settled, time.Minute)
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(call).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init:              func() any { return register{} },
	Step:              step,
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// flaw is a way for the store or the client to be wrong.
type flaw struct {
	ignoreCompares bool // the store writes whatever is compared
	repeatLost     bool // the client sends a write again whose reply was lost
	denyLost       bool // the client says that such a write had no effect
}

// recorder collects the history of all clients.
type recorder struct {
	flaw    flaw
	begun   time.Time
	mutex   sync.Mutex
	history []porcupine.Operation
	fates   map[store.Kind]int
}

func (r *recorder) record(client int, in call, called time.Duration, out answer, err error) {
	returned := time.Since(r.begun)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.fates[store.KindOf(err)]++
	if err != nil {
		if in.read || !store.MaybeApplied(err) || r.flaw.denyLost {
			return // it had no effect, as the client says
		}
		out = answer{unknown: true}
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(called), Output: out, Return: int64(returned),
	})
}

const (
	historyClients = 4
	historyCalls   = 60
)

// runClient makes calls: each write expects what the client last saw.
func (r *recorder) runClient(number int, client *store.Client, random *rand.Rand) {
	seen := map[string]int64{}
	for turn := range historyCalls {
		in := call{key: []string{"x", "y"}[random.IntN(2)], value: fmt.Sprintf("%d-%d", number, turn)}
		in.read = random.IntN(4) == 0
		if in.expected = seen[in.key]; random.IntN(5) == 0 {
			in.expected = 0
		}
		var out answer
		called := time.Since(r.begun)
		var err error
		if in.read {
			var result store.RangeResult
			if result, err = client.Range(ctx, in.key, "", 0); err == nil && len(result.Entries) == 1 {
				out.found = result.Entries[0]
			}
		} else {
			var result store.SwapResult
			result, err = client.CompareAndSwap(ctx, in.key, in.expected, []byte(in.value))
			if r.flaw.repeatLost && store.MaybeApplied(err) {
				result, err = client.CompareAndSwap(ctx, in.key, in.expected, []byte(in.value))
			}
			out = answer{written: result.Swapped, found: result.Existing, revision: result.StoreRevision}
		}
		r.record(number, in, called, out, err)
		if err == nil {
			seen[in.key] = max(out.found.ModRevision, 0)
			if out.written {
				seen[in.key] = out.revision
			}
		}
	}
}

// disturb changes the faults again and again until stopped.
func disturb(server *standin.Server, random *rand.Rand, stopped <-chan struct{}) {
	faults := []standin.Faults{
		{LoseReplies: 2}, {LoseReplies: 2, Delay: settings.Duration(time.Millisecond)}, {Outage: standin.OutageClose},
		{Outage: standin.OutageUnavailable}, {Outage: standin.OutageHang}, {RatePerSecond: 2000, Burst: 3}, {},
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

// runHistory runs clients against a disturbed store and returns the history.
func runHistory(t *testing.T, seed uint64, flaw flaw) *recorder {
	server, _ := start(t, nil)
	if flaw.ignoreCompares {
		server.IgnoreCompares()
	}
	recorder := &recorder{flaw: flaw, begun: time.Now(), fates: map[store.Kind]int{}}
	stopped := make(chan struct{})
	var disturbing, calling sync.WaitGroup
	disturbing.Go(func() { disturb(server, rand.New(rand.NewPCG(seed, 0)), stopped) })
	for number := range historyClients {
		client := connect(t, server, 20*time.Millisecond)
		random := rand.New(rand.NewPCG(seed, uint64(number)+1))
		calling.Go(func() { recorder.runClient(number, client, random) })
	}
	calling.Wait()
	close(stopped)
	disturbing.Wait()
	return recorder
}

func TestHistoriesAreLinearizable(t *testing.T) {
	fates := map[store.Kind]int{}
	for seed := range uint64(8) {
		recorder := runHistory(t, seed, flaw{})
		if result := check(recorder.history); result != porcupine.Ok {
			t.Fatalf("seed %d: %s", seed, result)
		}
		for kind, count := range recorder.fates {
			fates[kind] += count
		}
	}
	t.Logf("calls by result (\"\" is answered): %v", fates)
}

func TestFlawsAreFound(t *testing.T) {
	for name, flaw := range map[string]flaw{
		"compares ignored":    {ignoreCompares: true},
		"lost write repeated": {repeatLost: true},
		"lost write denied":   {denyLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				if check(runHistory(t, seed, flaw).history) == porcupine.Illegal {
					return
				}
			}
			t.Fatal("20 histories are linearizable in spite of the flaw")
		})
	}
}
