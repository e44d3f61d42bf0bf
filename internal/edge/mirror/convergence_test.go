package mirror

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/micaplank/micaplank/internal/position"
)

// TestStartsConverge generates random changes, outages, compactions, restores of the store, seeds
// that stop, start and pause, and nodes that start. The position of a node must never decrease, and
// all nodes must have the same items once the store responds.
func TestStartsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newTestFleet(t, 3)
		f.sourcesTimeout = 5 * time.Millisecond
		f.store.put("first")
		nodes := make(map[*Shared]position.Position) // the position of each node
		step := func(node *Shared) {
			revision, loaded := nodes[node]
			var got position.Position
			var err error
			if loaded {
				_, got, err = node.Watch(t.Context(), "", revision, 0)
			}
			if !loaded || errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
				_, got, err = node.Range(t.Context(), "")
			}
			if err != nil && !errors.Is(err, ErrStale) {
				return
			}
			if got.Before(revision) {
				rt.Fatalf("node went back from position %v to %v", revision, got)
			}
			nodes[node] = got
		}
		stepAll := func() {
			for _, address := range f.seeds {
				if node := f.peers.at(address); node != nil {
					step(node)
				}
			}
			for node := range nodes {
				step(node)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"put":     func(*rapid.T) { f.store.put(fmt.Sprint("k", len(f.store.events)%5)) },
			"remove":  func(*rapid.T) { f.store.remove(fmt.Sprint("k", len(f.store.events)%5)) },
			"outage":  func(rt *rapid.T) { f.store.setDown(rapid.Bool().Draw(rt, "down")) },
			"forget":  func(*rapid.T) { f.store.compact() },
			"restore": func(rt *rapid.T) { f.store.restore(rapid.IntRange(0, 5).Draw(rt, "lost")) },
			"start": func(rt *rapid.T) {
				if len(nodes) < 8 {
					step(f.newNode())
				}
			},
			"seed": func(rt *rapid.T) { step(f.startSeed(rapid.IntRange(0, 2).Draw(rt, "seed"))) },
			"cut": func(rt *rapid.T) {
				f.peers.setUnreachable(f.seeds[rapid.IntRange(0, 2).Draw(rt, "seed")], true)
			},
			"freeze": func(rt *rapid.T) {
				if node := f.peers.at(f.seeds[rapid.IntRange(0, 2).Draw(rt, "seed")]); node != nil {
					node.mutex.Lock() // a request of an earlier incarnation may still be in flight
					node.lastContactAt -= time.Minute
					node.mutex.Unlock()
				}
			},
			"step": func(*rapid.T) { stepAll() },
		})
		f.store.setDown(false)
		stepAll()
		stepAll()
		stepAll()
		for node, revision := range nodes {
			if got, want := node.replica.list(), f.store.items(); revision != f.store.position() || !reflect.DeepEqual(got, want) {
				rt.Fatalf("node at position %v of %v has items %v, want %v", revision, f.store.position(), got, want)
			}
		}
	})
}
