package node

import (
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// quarantineRecord decodes the record of a request under which leaves ended.
func (f *follower) quarantineRecord(item mirror.Item) (quarantine.Content, quarantine.Known, bool) {
	content, err := f.decoder.Quarantined(item.Key)
	var known quarantine.Known
	if err == nil {
		known, err = f.decoder.Quarantine(item)
	}
	if err != nil {
		event.Log(f.logger, event.QuarantineRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return content, known, false
	}
	return content, known, true
}

// changeQuarantine applies a record of a request under which leaves ended, or its
// removal.
func (f *follower) changeQuarantine(changed mirror.Event) {
	if !changed.Removed {
		if content, known, ok := f.quarantineRecord(changed.Item); ok {
			f.quarantine.set(content, known)
		}
		return
	}
	if content, err := f.decoder.Quarantined(changed.Key); err == nil { // else it was never applied
		f.quarantine.remove(content, changed.Revision)
	}
}
