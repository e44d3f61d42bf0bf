package node

import (
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/event"
)

// decodeLeaf decodes the announcement of a leaf.
func (f *follower) decodeLeaf(item mirror.Item) (registry.Leaf, bool) {
	leaf, err := f.decoder.Leaf(item)
	if err != nil {
		f.metrics.leavesRejected.Inc()
		event.Log(f.logger, event.LeafRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return registry.Leaf{}, false
	}
	return leaf, true
}

// applyLeafEvent applies an announcement or its removal. An announcement that cannot be decoded
// removes the leaf, since it has overwritten the previous announcement.
func (f *follower) applyLeafEvent(change mirror.Event) {
	leaf, ok := registry.Leaf{}, false
	if !change.Removed {
		leaf, ok = f.decodeLeaf(change.Item)
	}
	if !ok {
		f.removeLeaf(change)
		return
	}
	f.view.mutex.Lock()
	accepted := f.view.leaves.Set(f.clock.Now(), leaf)
	f.view.mutex.Unlock()
	if !accepted {
		f.metrics.leavesRejected.Inc()
		event.Log(f.logger, event.LeafRejected{Key: change.Key, Revision: change.Revision, Error: registry.ErrStaleIncarnation})
		return
	}
	event.Log(f.logger, event.LeafChanged{
		Leaf: leaf.Incarnation(), Service: leaf.Service, Address: leaf.Address,
		Draining: leaf.Draining, Cold: leaf.Cold, Revision: change.Revision,
	})
}

// removeLeaf removes the leaf that a key announces.
func (f *follower) removeLeaf(change mirror.Event) {
	id, err := f.decoder.LeafID(change.Key)
	if err != nil {
		return // the key never announced a leaf; its rejection was logged when it was written
	}
	f.view.mutex.Lock()
	f.view.leaves.Remove(f.clock.Now(), id)
	f.view.mutex.Unlock()
	event.Log(f.logger, event.LeafChanged{Leaf: id, Removed: true, Revision: change.Revision})
}

// applyCordonEvent cordons or uncordons a zone.
func (f *follower) applyCordonEvent(change mirror.Event) {
	zone := f.decoder.CordonedZone(change.Key)
	f.view.mutex.Lock()
	changed := f.view.leaves.SetCordon(f.clock.Now(), zone, !change.Removed)
	f.view.mutex.Unlock()
	if changed {
		event.Log(f.logger, event.ZoneCordoned{Zone: zone, Cordoned: !change.Removed, Revision: change.Revision})
	}
}
