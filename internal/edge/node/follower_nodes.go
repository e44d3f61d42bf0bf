package node

import (
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
)

// decodeMember decodes the announcement of a node. An announcement that cannot be decoded still
// counts, under the name in its key, if it has a lease: nodes write theirs under a lease, and
// another version of the software may use another format. Without a lease it was not written by a
// node.
func (f *follower) decodeMember(item mirror.Item) (member roster.Member, counts bool) {
	member, err := roster.Decode(item.Value)
	if err != nil || member.Name == "" {
		event.Log(f.logger, event.NodeRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return roster.Member{Name: f.decoder.NodeName(item.Key)}, item.Lease != 0
	}
	return member, true
}

// applyNodeEvent applies the announcement of a node or its removal.
func (f *follower) applyNodeEvent(change mirror.Event) {
	member, counts := roster.Member{}, false
	if !change.Removed {
		member, counts = f.decodeMember(change.Item)
	}
	f.view.mutex.Lock()
	if counts {
		f.view.nodes.Add(f.clock.Now(), change.Key, member)
	} else {
		f.view.nodes.Remove(f.clock.Now(), change.Key)
	}
	f.view.mutex.Unlock()
	event.Log(f.logger, event.NodeChanged{
		Peer: f.decoder.NodeName(change.Key), Removed: change.Removed, Revision: change.Revision,
	})
}
