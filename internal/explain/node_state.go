package explain

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// nodeState is what a node knew at a certain time, reconstructed from its log.
type nodeState struct {
	startedAt    time.Time // zero if the log does not contain the start
	configText   string
	configAt     time.Time
	storeText    string
	storeAt      time.Time
	executorText string
	// cordonedSince maps each cordoned zone to the time at which it was cordoned.
	cordonedSince map[string]time.Time
	// announcements maps the incarnation of a leaf to the description of its last announcement.
	announcements map[string]string
}

func newNodeState() *nodeState {
	return &nodeState{announcements: make(map[string]string), cordonedSince: make(map[string]time.Time)}
}

// apply updates the state with a log line of the node.
func (n *nodeState) apply(line *Line) {
	switch line.Message {
	case event.Started{}.Kind().Message:
		*n = *newNodeState() // a restarted process knows nothing of its previous run
		n.startedAt = line.Time
	case event.ConfigInstalled{}.Kind().Message:
		n.configText, n.configAt = fmt.Sprintf("configuration %d in force", line.Version), line.Time
	case event.StoreLost{}.Kind().Message:
		n.storeText, n.storeAt = "store lost: "+line.Error, line.Time
	case event.StoreRegained{}.Kind().Message:
		n.storeText, n.storeAt = "store regained after "+line.Away, line.Time
	case event.StoreSnapshotRead{}.Kind().Message:
		n.storeText, n.storeAt = "store read", line.Time
	case event.ExecutorsLost{}.Kind().Message:
		n.executorText = fmt.Sprintf("in touch with %d executors", line.Left)
	case event.ExecutorInTouch{}.Kind().Message:
		n.executorText = "in touch with " + line.Peer
	case event.ZoneCordoned{}.Kind().Message:
		delete(n.cordonedSince, line.Zone)
		if line.Cordoned {
			n.cordonedSince[line.Zone] = line.Time
		}
	case event.LeafChanged{}.Kind().Message:
		n.announcements[line.Leaf] = announcementText(line)
	}
}

func announcementText(line *Line) string {
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

// describe returns descriptions of the state, with ages relative to the time of the line. The
// executors are described only for a request with more than one shard.
func (n *nodeState) describe(line *Line) []string {
	var texts []string
	if !n.startedAt.IsZero() {
		texts = append(texts, fmt.Sprintf("process started %s before", roundedAge(line.Time, n.startedAt)))
	}
	if n.configText == "" && !n.startedAt.IsZero() {
		texts = append(texts, "no configuration read yet")
	}
	if n.configText != "" {
		texts = append(texts, fmt.Sprintf("%s for %s", n.configText, roundedAge(line.Time, n.configAt)))
	}
	if n.storeText != "" {
		texts = append(texts, fmt.Sprintf("%s, %s before", n.storeText, roundedAge(line.Time, n.storeAt)))
	}
	for _, zone := range slices.Sorted(maps.Keys(n.cordonedSince)) {
		texts = append(texts, fmt.Sprintf("zone %s out of service for %s", zone, roundedAge(line.Time, n.cordonedSince[zone])))
	}
	if n.executorText != "" && line.Total > 1 {
		texts = append(texts, n.executorText)
	}
	return texts
}

func roundedAge(now, then time.Time) time.Duration { return now.Sub(then).Round(10 * time.Millisecond) }
