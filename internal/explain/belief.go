package explain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// beliefs is what one node believed, as its log shows.
type beliefs struct {
	startedAt time.Time // zero if the log begins later
	config    string
	configAt  time.Time
	store     string
	storeAt   time.Time
	executors string
	// cordoned holds since when zones are out of service.
	cordoned map[string]time.Time
	// leaves holds the last announcement of each leaf.
	leaves map[string]string
}

func newBeliefs() *beliefs {
	return &beliefs{leaves: make(map[string]string), cordoned: make(map[string]time.Time)}
}

// learn takes in a line of the node.
func (b *beliefs) learn(line *Line) {
	switch line.Message {
	case event.Started{}.Kind().Message:
		*b = *newBeliefs() // what was read before "started" is read again after it
		b.startedAt = line.Time
	case event.ConfigInstalled{}.Kind().Message:
		b.config, b.configAt = fmt.Sprintf("configuration %d in force", line.Version), line.Time
	case event.StoreLost{}.Kind().Message:
		b.store, b.storeAt = "store lost: "+line.Error, line.Time
	case event.StoreRegained{}.Kind().Message:
		b.store, b.storeAt = "store regained after "+line.Away, line.Time
	case event.StoreRead{}.Kind().Message:
		b.store, b.storeAt = "store read", line.Time
	case event.ExecutorsLost{}.Kind().Message:
		b.executors = fmt.Sprintf("in touch with %d executors", line.Left)
	case event.ExecutorInTouch{}.Kind().Message:
		b.executors = "in touch with " + line.Peer
	case event.ZoneCordoned{}.Kind().Message:
		delete(b.cordoned, line.Zone)
		if line.Cordoned {
			b.cordoned[line.Zone] = line.Time
		}
	case event.LeafChanged{}.Kind().Message:
		b.leaves[line.Leaf] = announced(line)
	}
}

func announced(line *Line) string {
	at := line.Time.Format(time.TimeOnly)
	switch {
	case line.Removed:
		return "gone since " + at
	case line.Draining:
		return "draining since " + at
	default:
		return "there since " + at
	}
}

// at returns what was believed at the time of a line, with its age.
func (b *beliefs) at(line *Line) []string {
	var texts []string
	if !b.startedAt.IsZero() {
		texts = append(texts, fmt.Sprintf("process started %s before", age(line.Time, b.startedAt)))
	}
	if b.config == "" && !b.startedAt.IsZero() {
		texts = append(texts, "no configuration read yet")
	}
	if b.config != "" {
		texts = append(texts, fmt.Sprintf("%s for %s", b.config, age(line.Time, b.configAt)))
	}
	if b.store != "" {
		texts = append(texts, fmt.Sprintf("%s, %s before", b.store, age(line.Time, b.storeAt)))
	}
	for _, zone := range slices.Sorted(maps.Keys(b.cordoned)) {
		texts = append(texts, fmt.Sprintf("zone %s out of service for %s", zone, age(line.Time, b.cordoned[zone])))
	}
	if b.executors != "" && line.Total > 1 {
		texts = append(texts, b.executors)
	}
	return texts
}

func age(now, then time.Time) time.Duration { return now.Sub(then).Round(10 * time.Millisecond) }
