package node

import (
	"github.com/micaplank/micaplank/internal/decide/quarantine"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
)

// decodeQuarantineRecord decodes the quarantine record of a request.
func (f *follower) decodeQuarantineRecord(item mirror.Item) (quarantine.Content, quarantine.StoredRecord, bool) {
	content, err := f.decoder.QuarantinedContent(item.Key)
	var record quarantine.StoredRecord
	if err == nil {
		record, err = f.decoder.QuarantineRecord(item)
	}
	if err != nil {
		event.Log(f.logger, event.QuarantineRejected{Key: item.Key, Revision: item.Revision, Error: err})
		return content, record, false
	}
	return content, record, true
}

// applyQuarantineEvent applies a quarantine record or its removal.
func (f *follower) applyQuarantineEvent(change mirror.Event) {
	if !change.Removed {
		if content, record, ok := f.decodeQuarantineRecord(change.Item); ok {
			f.quarantine.set(content, record)
		}
		return
	}
	// A key that cannot be decoded was never applied.
	if content, err := f.decoder.QuarantinedContent(change.Key); err == nil {
		f.quarantine.remove(content, change.Position())
	}
}
