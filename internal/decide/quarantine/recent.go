package quarantine

import "time"

const (
	// generationTime is the age at which a generation is replaced: a request counts as recently
	// answered for 10 to 20 s. A request that is answered more often than that cannot become
	// suspected, which covers popular requests.
	generationTime = 10 * time.Second
	// maxGenerationEntries bounds the requests of one generation. Two generations of 4,096 hashes
	// of 16 bytes take 0.4 MB.
	maxGenerationEntries = 4096
)

// RecentAnswers remembers which requests leaves answered recently. It is not safe for concurrent
// use.
type RecentAnswers struct {
	current, previous map[Content]struct{}
	rotatedAt         time.Duration
}

// NewRecentAnswers returns an empty RecentAnswers.
func NewRecentAnswers() *RecentAnswers {
	return &RecentAnswers{current: make(map[Content]struct{}), previous: make(map[Content]struct{})}
}

// Add records that a leaf answered a request.
func (r *RecentAnswers) Add(now time.Duration, content Content) {
	r.rotate(now)
	if len(r.current) < maxGenerationEntries {
		r.current[content] = struct{}{}
	}
}

// Contains reports whether a leaf answered a request recently.
func (r *RecentAnswers) Contains(now time.Duration, content Content) bool {
	r.rotate(now)
	_, current := r.current[content]
	_, previous := r.previous[content]
	return current || previous
}

// rotate starts a new generation once the current one has reached generationTime.
func (r *RecentAnswers) rotate(now time.Duration) {
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
