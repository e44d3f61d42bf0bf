package dissemination

import (
	"context"
	"fmt"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// Key prefixes in the store. Revisions in keys have a fixed width, so that the order of the keys is
// the order of the revisions.
const (
	changesPrefix     = "/micaplank/changes/"
	checkpointsPrefix = "/micaplank/checkpoints/"
)

func changeKey(revision uint64) string { return fmt.Sprintf("%s%016d", changesPrefix, revision) }

// StoreAdapter implements Store with the client of the key-value store.
type StoreAdapter struct {
	client *store.Client
}

// NewStoreAdapter returns a StoreAdapter. The caller keeps ownership of the client.
func NewStoreAdapter(client *store.Client) *StoreAdapter { return &StoreAdapter{client: client} }

// ReadChanges implements Store.
func (a *StoreAdapter) ReadChanges(ctx context.Context, from uint64, limit int) ([]catalog.Change, bool, error) {
	response, err := a.client.Range(ctx, changeKey(from), store.PrefixEnd(changesPrefix), int64(limit))
	if err != nil {
		return nil, false, err
	}
	changes := make([]catalog.Change, 0, len(response.Entries))
	for _, entry := range response.Entries {
		change, err := decodeEntry(entry)
		if err != nil {
			return nil, false, err
		}
		changes = append(changes, change)
	}
	return changes, response.More, nil
}

func decodeEntry(entry store.Entry) (catalog.Change, error) {
	change, err := catalog.DecodeChange(entry.Value)
	if err == nil && changeKey(change.Revision) != entry.Key {
		err = fmt.Errorf("decode change %s: value has revision %d", entry.Key, change.Revision)
	}
	if err != nil {
		return catalog.Change{}, oops.In("dissemination").With("step", "decode", "key", entry.Key).Wrap(err)
	}
	return change, nil
}

// CreateChange implements Store.
func (a *StoreAdapter) CreateChange(ctx context.Context, change catalog.Change) (bool, *catalog.Change, error) {
	value, err := catalog.EncodeChange(change)
	if err != nil {
		return false, nil, &notSentError{err}
	}
	result, err := a.client.CreateIfAbsent(ctx, changeKey(change.Revision), value)
	if err != nil || result.Created {
		return result.Created, nil, err
	}
	existing, err := decodeEntry(result.Existing)
	if err != nil {
		return false, nil, err
	}
	return false, &existing, nil
}

// notSentError is a failure that occurred before a request was sent.
type notSentError struct{ error }

// MaybeApplied implements Store.
func (a *StoreAdapter) MaybeApplied(err error) bool {
	if _, ok := err.(*notSentError); ok {
		return false
	}
	return store.MaybeApplied(err)
}

// WatchChanges implements Store. The watch starts at the current store revision; reads of the log
// deliver the changes before it.
func (a *StoreAdapter) WatchChanges(ctx context.Context, deliver func([]catalog.Change)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := a.client.Watch(ctx, changesPrefix, store.PrefixEnd(changesPrefix), 0)
	if err != nil {
		return err
	}
	for event := range events {
		switch event.Kind {
		case store.WatchPut:
			change, err := decodeEntry(event.Entry)
			if err != nil {
				return err
			}
			deliver([]catalog.Change{change})
		case store.WatchEnded:
			return event.Err
		}
	}
	return nil
}
