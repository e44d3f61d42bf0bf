package membership

// queuedUpdate is an update that is waiting to be piggybacked on packets.
type queuedUpdate struct {
	update        Update
	transmissions int
	// replaced is set when a later update of the same member was queued.
	replaced bool
}

// broadcastQueue holds the updates to piggyback, least often transmitted first. It keeps at most
// one update per member that is not replaced.
type broadcastQueue struct {
	// byTransmissions[i] holds the updates that were transmitted i times, oldest first.
	byTransmissions [][]*queuedUpdate
	byName          map[string]*queuedUpdate
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byName: make(map[string]*queuedUpdate)}
}

// add queues an update and marks a queued update of the same member as replaced.
func (q *broadcastQueue) add(update Update) {
	if old := q.byName[update.Name]; old != nil {
		old.replaced = true
	}
	entry := &queuedUpdate{update: update}
	q.byName[update.Name] = entry
	q.insert(entry)
}

func (q *broadcastQueue) insert(entry *queuedUpdate) {
	for len(q.byTransmissions) <= entry.transmissions {
		q.byTransmissions = append(q.byTransmissions, nil)
	}
	q.byTransmissions[entry.transmissions] = append(q.byTransmissions[entry.transmissions], entry)
}

// empty reports whether no update is waiting.
func (q *broadcastQueue) empty() bool { return len(q.byName) == 0 }

// take returns updates that fit into the available bytes and counts them as transmitted. It drops
// updates that have been transmitted transmitLimit times.
func (q *broadcastQueue) take(available, transmitLimit int) []Update {
	if q.empty() {
		return nil
	}
	var taken []*queuedUpdate
	for level := range q.byTransmissions {
		available = q.takeAtLevel(level, available, &taken)
		if available < updateOverhead {
			break
		}
	}
	updates := make([]Update, 0, len(taken))
	for _, entry := range taken {
		updates = append(updates, entry.update)
		entry.transmissions++
		if entry.transmissions >= transmitLimit {
			delete(q.byName, entry.update.Name)
			continue
		}
		q.insert(entry)
	}
	return updates
}

// takeAtLevel appends updates that were transmitted level times to taken, and returns the bytes
// that remain available.
func (q *broadcastQueue) takeAtLevel(level, available int, taken *[]*queuedUpdate) int {
	entries := q.byTransmissions[level]
	consumed := 0
	for _, entry := range entries {
		if entry.replaced {
			consumed++
			continue
		}
		size := entry.update.maximumSize()
		if size > available {
			break
		}
		available -= size
		*taken = append(*taken, entry)
		consumed++
	}
	if consumed == len(entries) {
		q.byTransmissions[level] = entries[:0]
	} else {
		q.byTransmissions[level] = entries[consumed:]
	}
	return available
}
