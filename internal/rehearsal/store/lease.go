package store

import (
	"slices"
	"time"
)

// lease keeps keys alive until its deadline.
type lease struct {
	id         int64
	timeToLive time.Duration
	deadline   time.Time
	keys       map[string]struct{}
}

// grant makes a lease with the given id, or with one of the store's choice if
// it is zero.
func (d *database) grant(id int64, timeToLive time.Duration, now time.Time) *lease {
	if id == 0 {
		d.lastLease++
		id = d.lastLease
	}
	d.lastLease = max(d.lastLease, id)
	granted := &lease{id: id, timeToLive: timeToLive, deadline: now.Add(timeToLive), keys: map[string]struct{}{}}
	d.leases[id] = granted
	return granted
}

// keepAlive renews a lease; nil if it does not exist any more.
func (d *database) keepAlive(id int64, now time.Time) *lease {
	renewed := d.leases[id]
	if renewed != nil {
		renewed.deadline = now.Add(renewed.timeToLive)
	}
	return renewed
}

// revoke ends a lease and deletes its keys at one revision.
func (d *database) revoke(id int64) error {
	ended := d.leases[id]
	if ended == nil {
		return errNoLease
	}
	keys := make([]string, 0, len(ended.keys))
	for key := range ended.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	d.remove(keys, d.revision+1)
	delete(d.leases, id)
	return nil
}

// expire revokes the leases whose deadline has passed; it reports whether a
// key was deleted.
func (d *database) expire(now time.Time) (changed bool) {
	before := d.revision
	for id, held := range d.leases {
		if !now.Before(held.deadline) {
			_ = d.revoke(id)
		}
	}
	return d.revision != before
}
