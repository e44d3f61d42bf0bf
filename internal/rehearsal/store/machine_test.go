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

	standin "github.com/micaplank/micaplank/internal/rehearsal/store"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// model is what the store must hold, and every change since the start.
type model struct {
	revision int64
	entries  map[string]store.Entry
	changes  []store.WatchEvent
}

func (m *model) write(key string, value []byte) {
	m.revision++
	entry, found := m.entries[key]
	if !found {
		entry = store.Entry{Key: key, CreateRevision: m.revision}
	}
	entry.Value, entry.ModRevision = value, m.revision
	entry.Version++
	m.entries[key] = entry
	m.changes = append(m.changes, store.WatchEvent{Kind: store.WatchPut, Entry: entry})
}

// remove deletes the keys that match, all at one revision.
func (m *model) remove(matches func(store.Entry) bool) (removed int64) {
	for _, key := range slices.Sorted(maps.Keys(m.entries)) {
		if !matches(m.entries[key]) {
			continue
		}
		if removed++; removed == 1 {
			m.revision++
		}
		delete(m.entries, key)
		m.changes = append(m.changes, store.WatchEvent{
			Kind: store.WatchDelete, Entry: store.Entry{Key: key, ModRevision: m.revision},
		})
	}
	return removed
}

func (m *model) between(key, end string) []store.Entry {
	var found []store.Entry
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		if name >= key && name < end {
			found = append(found, m.entries[name])
		}
	}
	return found
}

func sameEntry(left, right store.Entry) bool {
	return left.Key == right.Key && string(left.Value) == string(right.Value) &&
		left.CreateRevision == right.CreateRevision && left.ModRevision == right.ModRevision &&
		left.Version == right.Version
}

func TestClientAndStandInFollowTheModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		server, err := standin.Start(standin.Config{Address: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
		if err != nil {
			r.Fatal(err)
		}
		defer server.Close()
		endpoint := netip.MustParseAddrPort(server.Address())
		client, err := store.New(store.Config{Endpoints: []netip.AddrPort{endpoint}, Timeout: 5 * time.Second}, nil)
		if err != nil {
			r.Fatal(err)
		}
		defer client.Close()
		machine := &storeMachine{server: server, client: client, model: model{revision: 1, entries: map[string]store.Entry{}}}
		r.Repeat(map[string]func(*rapid.T){
			"create": machine.create, "swap": machine.swap, "range": machine.read, "delete": machine.remove,
			"lose reply": machine.loseReply,
		})
		machine.watchAll(r)
	})
}

type storeMachine struct {
	server *standin.Server
	client *store.Client
	model  model
}

var ctx = context.Background()

func anyKey(r *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "a/1", "a/2", "b"}).Draw(r, "key")
}

func anyValue(r *rapid.T) []byte { return rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(r, "value") }

// settle follows a write whose reply was lost, and must have been applied.
func settle(r *rapid.T, err error) (lost bool) {
	if err == nil {
		return false
	}
	if store.KindOf(err) != store.KindReplyLost || !store.MaybeApplied(err) {
		r.Fatalf("unexpected: %v", err)
	}
	return true
}

func (m *storeMachine) create(r *rapid.T) {
	key, value := anyKey(r), anyValue(r)
	existing, exists := m.model.entries[key]
	result, err := m.client.CreateIfAbsent(ctx, key, value)
	if !exists {
		m.model.write(key, value)
	}
	if settle(r, err) {
		return
	}
	if result.Created == exists || (exists && !sameEntry(result.Existing, existing)) || result.StoreRevision != m.model.revision {
		r.Fatalf("create %q: %+v, expected %+v at %d", key, result, existing, m.model.revision)
	}
}

func (m *storeMachine) swap(r *rapid.T) {
	key, value := anyKey(r), anyValue(r)
	existing := m.model.entries[key]
	existing.Key = key
	expected := max(0, existing.ModRevision+rapid.SampledFrom([]int64{0, 0, 0, 1, -1}).Draw(r, "off by"))
	matches := expected == existing.ModRevision
	result, err := m.client.CompareAndSwap(ctx, key, expected, value)
	if matches {
		m.model.write(key, value)
	}
	if settle(r, err) {
		return
	}
	if result.Swapped != matches || (!matches && !sameEntry(result.Existing, existing)) || result.StoreRevision != m.model.revision {
		r.Fatalf("swap %q at %d: %+v, expected %+v", key, expected, result, existing)
	}
}

func (m *storeMachine) read(r *rapid.T) {
	limit := rapid.Int64Range(0, 3).Draw(r, "limit")
	result, err := m.client.Range(ctx, "a", store.PrefixEnd("a"), limit)
	if err != nil {
		r.Fatal(err)
	}
	expected := m.model.between("a", "b")
	if result.Count != int64(len(expected)) || result.More != (limit > 0 && result.Count > limit) {
		r.Fatalf("range: %+v, expected %+v", result, expected)
	}
	if result.More {
		expected = expected[:limit]
	}
	if !slices.EqualFunc(result.Entries, expected, sameEntry) || result.StoreRevision != m.model.revision {
		r.Fatalf("range: %+v, expected %+v", result, expected)
	}
}

func (m *storeMachine) remove(r *rapid.T) {
	key := anyKey(r)
	end := rapid.SampledFrom([]string{"", store.PrefixEnd(key)}).Draw(r, "end")
	deleted, err := m.client.DeleteRange(ctx, key, end)
	expected := m.model.remove(func(entry store.Entry) bool {
		return entry.Key == key || (end != "" && entry.Key > key && entry.Key < end)
	})
	if !settle(r, err) && deleted != expected {
		r.Fatalf("deleted %d, expected %d", deleted, expected)
	}
}

func (m *storeMachine) loseReply(*rapid.T) { m.server.SetFaults(standin.Faults{LoseReplies: 1}) }

// watchAll reads the whole history by a watch and holds it against the model.
func (m *storeMachine) watchAll(r *rapid.T) {
	watching, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	events, err := m.client.Watch(watching, "a", store.PrefixEnd("b"), 1)
	if err != nil {
		r.Fatal(err)
	}
	for _, expected := range m.model.changes {
		if event := <-events; event.Kind != expected.Kind || !sameEntry(event.Entry, expected.Entry) {
			r.Fatalf("watch: %+v, expected %+v", event, expected)
		}
	}
	cancel()
	for range events {
	}
}
