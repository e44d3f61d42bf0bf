package membership

// broadcast is an update that waits to be passed on.
type broadcast struct {
	update        Update
	transmissions int
	stale         bool
}

// broadcastQueue holds the updates to pass on, those sent least often first.
// At most one update for each member is current.
type broadcastQueue struct {
	// levels[i] holds the updates that were sent i times, oldest first.
	levels  [][]*broadcast
	current map[string]*broadcast
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{current: make(map[string]*broadcast)}
}

// add puts an update in, in place of an earlier one of the same member.
func (q *broadcastQueue) add(update Update) {
	if old := q.current[update.Name]; old != nil {
		old.stale = true
	}
	entry := &broadcast{update: update}
	q.current[update.Name] = entry
	q.insert(entry)
}

func (q *broadcastQueue) insert(entry *broadcast) {
	for len(q.levels) <= entry.transmissions {
		q.levels = append(q.levels, nil)
	}
	q.levels[entry.transmissions] = append(q.levels[entry.transmissions], entry)
}

// empty reports whether nothing waits.
func (q *broadcastQueue) empty() bool { return len(q.current) == 0 }

// take returns updates that fit into room bytes and counts them as sent.
// Those that reach the limit of transmissions are dropped.
func (q *broadcastQueue) take(room, limit int) []Update {
	if q.empty() {
		return nil
	}
	var taken []*broadcast
	for level := range q.levels {
		room = q.takeLevel(level, room, &taken)
		if room < updateOverhead {
			break
		}
	}
	updates := make([]Update, 0, len(taken))
	for _, entry := range taken {
		updates = append(updates, entry.update)
		entry.transmissions++
		if entry.transmissions >= limit {
			delete(q.current, entry.update.Name)
			continue
		}
		q.insert(entry)
	}
	return updates
}

func (q *broadcastQueue) takeLevel(level, room int, taken *[]*broadcast) int {
	entries := q.levels[level]
	used := 0
	for _, entry := range entries {
		if entry.stale {
			used++
			continue
		}
		size := entry.update.size()
		if size > room {
			break
		}
		room -= size
		*taken = append(*taken, entry)
		used++
	}
	if used == len(entries) {
		q.levels[level] = entries[:0]
	} else {
		q.levels[level] = entries[used:]
	}
	return room
}
