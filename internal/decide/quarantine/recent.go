package quarantine

import "time"

const (
	// recentTime is for how long a request counts as answered lately, at least; twice
	// that at most. A request that comes more often cannot be suspected. Not measured:
	// chosen because popular requests come more often than that.
	recentTime = 10 * time.Second
	// recentEntries bounds the requests of one generation: 4,096 of 16 bytes, in two
	// generations, take 0.4 MB.
	recentEntries = 4096
)

// Recent remembers which requests leaves answered lately. It is not safe for
// concurrent use.
type Recent struct {
	young, old map[Content]struct{}
	since      time.Duration
}

// NewRecent returns a Recent that remembers nothing.
func NewRecent() *Recent {
	return &Recent{young: make(map[Content]struct{}), old: make(map[Content]struct{})}
}

// Add notes that a leaf answered a request.
func (r *Recent) Add(now time.Duration, content Content) {
	r.turn(now)
	if len(r.young) < recentEntries {
		r.young[content] = struct{}{}
	}
}

// Has reports whether a leaf answered a request lately.
func (r *Recent) Has(now time.Duration, content Content) bool {
	r.turn(now)
	_, young := r.young[content]
	_, old := r.old[content]
	return young || old
}

// turn starts a new generation if the young one is old.
func (r *Recent) turn(now time.Duration) {
	age := now - r.since
	if age < recentTime {
		return
	}
	r.young, r.old = r.old, r.young
	clear(r.young)
	if age >= 2*recentTime {
		clear(r.old)
	}
	r.since = now
}
