package store_test

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	fakestore "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// model holds the expected entries of the store and all events since its start.
type model struct {
	revision int64
	entries  map[string]store.Entry
	events   []store.WatchEvent
}

func (m *model) write(key string, value []byte) {
	m.revision++
	entry, exists := m.entries[key]
	if !exists {
		entry = store.Entry{Key: key, CreateRevision: m.revision}
	}
	entry.Value, entry.ModRevision = value, m.revision
	entry.Version++
	m.entries[key] = entry
	m.events = append(m.events, store.WatchEvent{Kind: store.WatchPut, Entry: entry})
}

// remove deletes the matching keys at a single revision and returns their number.
func (m *model) remove(matches func(store.Entry) bool) (removed int64) {
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if !matches(m.entries[key]) {
			continue
		}
		if removed++; removed == 1 {
			m.revision++
		}
		delete(m.entries, key)
		m.events = append(m.events, store.WatchEvent{
			Kind: store.WatchDelete, Entry: store.Entry{Key: key, ModRevision: m.revision},
		})
	}
	return removed
}

func (m *model) entriesInRange(key, end string) []store.Entry {
	var entries []store.Entry
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		if name >= key && name < end {
			entries = append(entries, m.entries[name])
		}
	}
	return entries
}

func entriesEqual(left, right store.Entry) bool {
	return left.Key == right.Key && string(left.Value) == string(right.Value) &&
		left.CreateRevision == right.CreateRevision && left.ModRevision == right.ModRevision &&
		left.Version == right.Version
}

func TestClientAndStandInFollowTheModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		server, err := fakestore.Start(fakestore.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
		if err != nil {
			r.Fatal(err)
		}
		defer server.Close()
		endpoint := netip.MustParseAddrPort(server.Address())
		client, err := store.NewClient(store.Config{Endpoints: []netip.AddrPort{endpoint}, Timeout: 5 * time.Second}, nil)
		if err != nil {
			r.Fatal(err)
		}
		defer client.Close()
		test := &modelTest{server: server, client: client, model: model{revision: 1, entries: map[string]store.Entry{}}}
		r.Repeat(map[string]func(*rapid.T){
			"create": test.create, "swap": test.swap, "range": test.read, "delete": test.remove,
			"lose reply": test.loseReply,
		})
		test.checkWatch(r)
	})
}

type modelTest struct {
	server *fakestore.Server
	client *store.Client
	model  model
}

var ctx = context.Background()

func drawKey(r *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "a/1", "a/2", "b"}).Draw(r, "key")
}

func drawValue(r *rapid.T) []byte { return rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(r, "value") }

// isLostReply reports whether the reply of a write was lost. Such a write has been applied. Any
// other error fails the test.
func isLostReply(r *rapid.T, err error) (lost bool) {
	if err == nil {
		return false
	}
	if store.ErrorKind(err) != store.KindReplyLost || !store.MaybeApplied(err) {
		r.Fatalf("write: got error %v, want a lost reply that may have been applied", err)
	}
	return true
}

func (m *modelTest) create(r *rapid.T) {
	key, value := drawKey(r), drawValue(r)
	existing, exists := m.model.entries[key]
	result, err := m.client.CreateIfAbsent(ctx, key, value)
	if !exists {
		m.model.write(key, value)
	}
	if isLostReply(r, err) {
		return
	}
	if result.Created == exists || (exists && !entriesEqual(result.Existing, existing)) || result.StoreRevision != m.model.revision {
		r.Fatalf("create %q: got %+v, want %+v at revision %d", key, result, existing, m.model.revision)
	}
}

func (m *modelTest) swap(r *rapid.T) {
	key, value := drawKey(r), drawValue(r)
	existing := m.model.entries[key]
	existing.Key = key
	expected := max(0, existing.ModRevision+rapid.SampledFrom([]int64{0, 0, 0, 1, -1}).Draw(r, "off by"))
	matches := expected == existing.ModRevision
	result, err := m.client.CompareAndSwap(ctx, key, expected, value)
	if matches {
		m.model.write(key, value)
	}
	if isLostReply(r, err) {
		return
	}
	if result.Swapped != matches || (!matches && !entriesEqual(result.Existing, existing)) || result.StoreRevision != m.model.revision {
		r.Fatalf("swap %q at revision %d: got %+v, want %+v", key, expected, result, existing)
	}
}

func (m *modelTest) read(r *rapid.T) {
	limit := rapid.Int64Range(0, 3).Draw(r, "limit")
	result, err := m.client.Range(ctx, "a", store.PrefixEnd("a"), limit)
	if err != nil {
		r.Fatal(err)
	}
	expected := m.model.entriesInRange("a", "b")
	if result.Count != int64(len(expected)) || result.More != (limit > 0 && result.Count > limit) {
		r.Fatalf("range: got %+v, want entries %+v", result, expected)
	}
	if result.More {
		expected = expected[:limit]
	}
	if !slices.EqualFunc(result.Entries, expected, entriesEqual) || result.StoreRevision != m.model.revision {
		r.Fatalf("range: got %+v, want entries %+v", result, expected)
	}
}

func (m *modelTest) remove(r *rapid.T) {
	key := drawKey(r)
	end := rapid.SampledFrom([]string{"", store.PrefixEnd(key)}).Draw(r, "end")
	deleted, err := m.client.DeleteRange(ctx, key, end)
	expected := m.model.remove(func(entry store.Entry) bool {
		return entry.Key == key || (end != "" && entry.Key > key && entry.Key < end)
	})
	if !isLostReply(r, err) && deleted != expected {
		r.Fatalf("delete: got %d deleted keys, want %d", deleted, expected)
	}
}

func (m *modelTest) loseReply(*rapid.T) { m.server.SetFaults(fakestore.Faults{LoseReplies: 1}) }

// checkWatch reads all events since the start through a watch and compares them with the model.
func (m *modelTest) checkWatch(r *rapid.T) {
	watchContext, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	events, err := m.client.Watch(watchContext, "a", store.PrefixEnd("b"), 1)
	if err != nil {
		r.Fatal(err)
	}
	for _, expected := range m.model.events {
		if event := <-events; event.Kind != expected.Kind || !entriesEqual(event.Entry, expected.Entry) {
			r.Fatalf("watch: got event %+v, want %+v", event, expected)
		}
	}
	cancel()
	for range events {
	}
}
