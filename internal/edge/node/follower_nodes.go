package node

import (
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/roster"
)

// member decodes the announcement of a node. One that cannot be read still counts,
// under its key, if it is under a lease, as those of nodes are: another version may
// have written it. Without a lease another writer has.
func (f *follower) member(item mirror.Item) (member roster.Member, counts bool) {
	member, err := roster.Decode(item.Value)
	if err != nil || member.Name == "" {
		event.Log(f.logger, event.NodeRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return roster.Member{Name: f.decoder.Node(item.Key)}, item.Lease != 0
	}
	return member, true
}

// changeNode applies the announcement of a node, or its removal.
func (f *follower) changeNode(changed mirror.Event) {
	member, counts := roster.Member{}, false
	if !changed.Removed {
		member, counts = f.member(changed.Item)
	}
	f.view.mutex.Lock()
	if counts {
		f.view.nodes.Add(f.clock.Now(), changed.Key, member)
	} else {
		f.view.nodes.Remove(f.clock.Now(), changed.Key)
	}
	f.view.mutex.Unlock()
	event.Log(f.logger, event.NodeChanged{
		Peer: f.decoder.Node(changed.Key), Removed: changed.Removed, Revision: changed.Revision,
	})
}
