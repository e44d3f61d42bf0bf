package store

import (
	"errors"
	"slices"
	"sort"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

var (
	errCompacted      = errors.New("etcdserver: mvcc: required revision has been compacted")
	errFutureRevision = errors.New("etcdserver: mvcc: required revision is a future revision")
	errEmptyKey       = errors.New("etcdserver: key is not provided")
	errHistoricalRead = errors.New("range: reads at a past revision are not supported by the fake store")
	errInvalidCompare = errors.New("txn: unknown target or result in a compare")
)

// The IDs exceed the range of int64, as those of a real etcd cluster may, so that clients that
// parse them as signed integers fail.
const (
	clusterID = "14841639068965178418"
	memberID  = "10276657743932975437"
)

// database is a multi-version key-value map. Every write request gets the next revision of the
// whole store, and the events of past writes are kept for watches until they are compacted. It is
// not safe for concurrent use.
type database struct {
	revision int64
	entries  map[string]wire.KeyValue
	// events holds the events of all revisions after compacted, in order of revision.
	events    []revisionEvent
	compacted int64

	// ignoreCompares makes every compare of a transaction succeed. It is set only by tests that
	// verify that the linearizability check detects such a store.
	ignoreCompares bool
}

// revisionEvent is the event that one revision caused for one key.
type revisionEvent struct {
	revision int64
	event    wire.Event
}

func newDatabase() *database {
	return &database{revision: 1, entries: map[string]wire.KeyValue{}}
}

func (d *database) header() *wire.ResponseHeader {
	return &wire.ResponseHeader{ClusterID: clusterID, MemberID: memberID, Revision: wire.Integer(d.revision)}
}

// inRange reports whether the candidate is in a range of the etcd API. An empty end selects the
// single key, and the end "\x00" selects all keys from key on.
func inRange(candidate string, key, end []byte) bool {
	if len(end) == 0 {
		return candidate == string(key)
	}
	if candidate < string(key) {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || candidate < string(end)
}

// matchingKeys returns the existing keys of a range in sorted order.
func (d *database) matchingKeys(key, end []byte) []string {
	if len(end) == 0 {
		if _, exists := d.entries[string(key)]; exists {
			return []string{string(key)}
		}
		return nil
	}
	var keys []string
	for candidate := range d.entries {
		if inRange(candidate, key, end) {
			keys = append(keys, candidate)
		}
	}
	sort.Strings(keys)
	return keys
}

// readRange executes a range request at the current revision. It rejects past revisions because the
// database keeps only the latest value of each key.
func (d *database) readRange(request *wire.RangeRequest) (*wire.RangeResponse, error) {
	switch revision := int64(request.Revision); {
	case len(request.Key) == 0:
		return nil, errEmptyKey
	case revision > d.revision:
		return nil, errFutureRevision
	case revision > 0 && revision < d.revision:
		return nil, errHistoricalRead
	}
	keys := d.matchingKeys(request.Key, request.RangeEnd)
	response := &wire.RangeResponse{Header: d.header(), Count: wire.Integer(len(keys))}
	if request.CountOnly {
		return response, nil
	}
	if limit := int(request.Limit); limit > 0 && len(keys) > limit {
		keys = keys[:limit]
		response.More = true
	}
	for _, key := range keys {
		entry := d.entries[key]
		if request.KeysOnly {
			entry.Value = nil
		}
		response.KeyValues = append(response.KeyValues, entry)
	}
	return response, nil
}

// put sets a key at the given revision.
func (d *database) put(request *wire.PutRequest, revision int64) error {
	if len(request.Key) == 0 {
		return errEmptyKey
	}
	key := string(request.Key)
	entry, exists := d.entries[key]
	if !exists {
		entry = wire.KeyValue{Key: slices.Clone(request.Key), CreateRevision: wire.Integer(revision)}
	}
	entry.ModRevision = wire.Integer(revision)
	entry.Version++
	entry.Value = slices.Clone(request.Value)
	d.entries[key] = entry
	d.appendEvent(revisionEvent{revision: revision, event: wire.Event{KeyValue: entry}})
	return nil
}

// deleteKeys deletes the keys at the given revision.
func (d *database) deleteKeys(keys []string, revision int64) {
	for _, key := range keys {
		entry := d.entries[key]
		delete(d.entries, key)
		tombstone := wire.KeyValue{Key: entry.Key, ModRevision: wire.Integer(revision)}
		d.appendEvent(revisionEvent{revision: revision, event: wire.Event{Type: wire.EventDelete, KeyValue: tombstone}})
	}
}

func (d *database) appendEvent(event revisionEvent) {
	d.revision = event.revision
	d.events = append(d.events, event)
}

// compact drops the events up to and including the revision.
func (d *database) compact(revision int64) error {
	switch {
	case revision > d.revision:
		return errFutureRevision
	case revision <= d.compacted:
		return errCompacted
	}
	firstKept := sort.Search(len(d.events), func(index int) bool { return d.events[index].revision > revision })
	d.events = slices.Clone(d.events[firstKept:])
	d.compacted = revision
	return nil
}

// eventsSince returns the events of a range from the given revision on.
func (d *database) eventsSince(revision int64, key, end []byte) ([]wire.Event, error) {
	if revision <= d.compacted {
		return nil, errCompacted
	}
	first := sort.Search(len(d.events), func(index int) bool { return d.events[index].revision >= revision })
	var events []wire.Event
	for _, recorded := range d.events[first:] {
		if inRange(string(recorded.event.KeyValue.Key), key, end) {
			events = append(events, recorded.event)
		}
	}
	return events, nil
}
