package hollow

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/dissemination"
)

// tracker follows the changes of a phase. It may be used by any goroutine.
type tracker struct {
	mutex    sync.Mutex
	proposed map[string]time.Duration
	// pending are the changes that the store has and that are not yet in
	// force, by revision.
	pending  map[uint64]time.Duration
	inForce  []time.Duration
	answers  []time.Duration
	fates    map[string]int
	count    int
	last     []traffic
	lastAt   time.Duration
	peaks    []float64
	finished int
}

func newTracker() *tracker {
	t := &tracker{}
	t.reset()
	return t
}

func (t *tracker) reset() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.proposed = make(map[string]time.Duration)
	t.pending = make(map[uint64]time.Duration)
	t.fates = make(map[string]int)
	t.inForce, t.answers = nil, nil
	t.count, t.finished = 0, 0
	t.last, t.peaks = nil, nil
}

func (t *tracker) propose(token string, at time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.proposed[token] = at
	t.count++
}

// created notes that the store has taken a change.
func (t *tracker) created(change catalog.Change) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, token, _ := strings.Cut(change.ID, "-")
	if at, ok := t.proposed[token]; ok {
		t.pending[change.Revision] = at
	}
}

func (t *tracker) answered(token string, after time.Duration, result dissemination.Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.finished++
	if _, ok := t.proposed[token]; !ok {
		return
	}
	t.answers = append(t.answers, after)
	t.fates[string(result.Fate)]++
}

// observe notes the changes that every serving node holds.
func (t *tracker) observe(now time.Duration, statuses []status) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.pending) == 0 {
		return
	}
	lowest := uint64(1<<64 - 1)
	for _, status := range statuses {
		if status.serves {
			lowest = min(lowest, status.revision)
		}
	}
	for revision, at := range t.pending {
		if revision <= lowest {
			t.inForce = append(t.inForce, now-at)
			delete(t.pending, revision)
		}
	}
}

// observeTraffic keeps, for each slot, the most bytes that passed it in about
// one second.
func (t *tracker) observeTraffic(now time.Duration, current []traffic) {
	if t.last != nil && now-t.lastAt < time.Second {
		return
	}
	if t.peaks == nil {
		t.peaks = make([]float64, len(current))
	}
	for i := range t.last {
		bytes := float64(current[i].minus(t.last[i]).wireBytes())
		t.peaks[i] = max(t.peaks[i], bytes/(now-t.lastAt).Seconds())
	}
	t.last, t.lastAt = slices.Clone(current), now
}

func (t *tracker) inForceAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.pending) == 0
}

func (t *tracker) answeredAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.finished >= t.count
}

func (t *tracker) summary() Changes {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return Changes{
		Proposed: t.count, Unsettled: len(t.pending),
		InForce: distribution(t.inForce), Answered: distribution(t.answers),
		Fates: t.fates,
	}
}

// distribution summarises times.
func distribution(times []time.Duration) Distribution {
	if len(times) == 0 {
		return Distribution{}
	}
	slices.Sort(times)
	quantile := func(q float64) float64 { return times[int(q*float64(len(times)-1))].Seconds() }
	return Distribution{Count: len(times), Median: quantile(0.5), P99: quantile(0.99), Max: quantile(1)}
}
