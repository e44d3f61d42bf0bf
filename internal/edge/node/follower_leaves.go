package node

import (
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/edge/registry"
	"github.com/micaplank/micaplank/internal/event"
)

// leaf decodes the announcement of a leaf.
func (f *follower) leaf(item mirror.Item) (registry.Leaf, bool) {
	leaf, err := f.decoder.Leaf(item)
	if err != nil {
		f.metrics.leavesRejected.Inc()
		event.Log(f.logger, event.LeafRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return registry.Leaf{}, false
	}
	return leaf, true
}

// changeLeaf applies an announcement, or its removal. One that cannot be read names no
// leaf any more.
func (f *follower) changeLeaf(changed mirror.Event) {
	leaf, ok := registry.Leaf{}, false
	if !changed.Removed {
		leaf, ok = f.leaf(changed.Item)
	}
	if !ok {
		f.removeLeaf(changed)
		return
	}
	f.view.mutex.Lock()
	taken := f.view.leaves.Set(f.clock.Now(), leaf)
	f.view.mutex.Unlock()
	if !taken {
		f.metrics.leavesRejected.Inc()
		event.Log(f.logger, event.LeafRejected{Key: changed.Key, Revision: changed.Revision, Error: registry.ErrFormerStart})
		return
	}
	event.Log(f.logger, event.LeafChanged{
		Leaf: leaf.Incarnation(), Service: leaf.Service, Address: leaf.Address,
		Draining: leaf.Draining, Cold: leaf.Cold, Revision: changed.Revision,
	})
}

// removeLeaf removes the leaf that a key announced.
func (f *follower) removeLeaf(changed mirror.Event) {
	id, err := f.decoder.LeafID(changed.Key)
	if err != nil {
		return // it never announced one, which was logged when it was written
	}
	f.view.mutex.Lock()
	f.view.leaves.Remove(f.clock.Now(), id)
	f.view.mutex.Unlock()
	event.Log(f.logger, event.LeafChanged{Leaf: id, Removed: true, Revision: changed.Revision})
}

// changeCordon takes a zone out of service, or puts it back.
func (f *follower) changeCordon(changed mirror.Event) {
	zone := f.decoder.CordonedZone(changed.Key)
	f.view.mutex.Lock()
	toggled := f.view.leaves.Cordon(f.clock.Now(), zone, !changed.Removed)
	f.view.mutex.Unlock()
	if toggled {
		event.Log(f.logger, event.ZoneCordoned{Zone: zone, Cordoned: !changed.Removed, Revision: changed.Revision})
	}
}
