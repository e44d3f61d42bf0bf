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
	errHistoricalRead = errors.New("reads at a past revision are not served by the stand-in")
	errInvalidCompare = errors.New("unknown target or result of a compare")
)

// Identities as large as real ones: they do not fit a signed integer.
const (
	clusterID = "14841639068965178418"
	memberID  = "10276657743932975437"
)

// database is a multi-version key-value map: every write gets the next
// revision of the whole store, and the history of writes is kept for watches
// until it is compacted. It is not safe for concurrent use.
type database struct {
	revision int64
	entries  map[string]wire.KeyValue
	// history holds the changes of the revisions after compacted, in order.
	events    []event
	compacted int64

	// ignoreCompares is set by tests of the tests only.
	ignoreCompares bool
}

// change is what one revision did to one key.
type event struct {
	revision int64
	event    wire.Event
}

func newDatabase() *database {
	return &database{revision: 1, entries: map[string]wire.KeyValue{}}
}

func (d *database) header() *wire.ResponseHeader {
	return &wire.ResponseHeader{ClusterID: clusterID, MemberID: memberID, Revision: wire.Integer(d.revision)}
}

// inRange follows the store's convention: no end means one key, and the end
// "\x00" means all keys from key on.
func inRange(candidate string, key, end []byte) bool {
	if len(end) == 0 {
		return candidate == string(key)
	}
	if candidate < string(key) {
		return false
	}
	return (len(end) == 1 && end[0] == 0) || candidate < string(end)
}

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

// put writes a key at the given revision.
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
	d.appendEvent(event{revision: revision, event: wire.Event{KeyValue: entry}})
	return nil
}

// remove deletes the given keys at the given revision.
func (d *database) deleteKeys(keys []string, revision int64) {
	for _, key := range keys {
		entry := d.entries[key]
		delete(d.entries, key)
		tombstone := wire.KeyValue{Key: entry.Key, ModRevision: wire.Integer(revision)}
		d.appendEvent(event{revision: revision, event: wire.Event{Type: wire.EventDelete, KeyValue: tombstone}})
	}
}

func (d *database) appendEvent(event event) {
	d.revision = event.revision
	d.events = append(d.events, event)
}

// compact drops the history up to and including revision.
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

// since returns the changes of the range from the given revision on.
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
