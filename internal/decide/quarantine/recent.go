package quarantine

import "time"

const (
	// recentTime is for how long a request counts as answered lately, at least; twice
	// that at most. A request that comes more often cannot be suspected. Not measured:
	// chosen because popular requests come more often than that.
	generationTime = 10 * time.Second
	// recentEntries bounds the requests of one generation: 4,096 of 16 bytes, in two
	// generations, take 0.4 MB.
	maxGenerationEntries = 4096
)

// Recent remembers which requests leaves answered lately. It is not safe for
// concurrent use.
type Recent struct {
	current, previous map[Content]struct{}
	rotatedAt         time.Duration
}

// NewRecent returns a Recent that remembers nothing.
func NewRecent() *Recent {
	return &Recent{current: make(map[Content]struct{}), previous: make(map[Content]struct{})}
}

// Add notes that a leaf answered a request.
func (r *Recent) Add(now time.Duration, content Content) {
	r.rotate(now)
	if len(r.current) < maxGenerationEntries {
		r.current[content] = struct{}{}
	}
}

// Has reports whether a leaf answered a request lately.
func (r *Recent) Has(now time.Duration, content Content) bool {
	r.rotate(now)
	_, current := r.current[content]
	_, previous := r.previous[content]
	return current || previous
}

// turn starts a new generation if the young one is old.
func (r *Recent) rotate(now time.Duration) {
	age := now - r.rotatedAt
	if age < generationTime {
		return
	}
	r.current, r.previous = r.previous, r.current
	clear(r.current)
	if age >= 2*generationTime {
		clear(r.previous)
	}
	r.rotatedAt = now
}
