package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// The kinds of steps of a roll-out.
const (
	KindOrdered  = "ordered"
	KindDecided  = "decided"
	KindFollowed = "followed"
	KindDecider  = "decider"
)

// phaseKey names one phase of one roll-out.
type phaseKey struct {
	service, target, phase string
	order                  uint64
}

// followers are the nodes that have gone by a phase.
type followers struct {
	first, last time.Time
	lastNode    string
	count       int
}

// Rollouts returns the history of roll-outs since a time: orders, what was decided and
// why, and how soon the nodes followed. With a service, only its own.
func Rollouts(lines []Line, service string, since time.Time) Timeline {
	var steps []Step
	ordered := make(map[string]bool) // texts: each node logs an order
	followed := make(map[phaseKey]*followers)
	for _, line := range byTime(lines) {
		if line.Time.Before(since) || !concerns(&line, service) {
			continue
		}
		switch line.Message {
		case event.RolloutOrdered{}.Kind().Message:
			text := orderText(&line)
			if !ordered[text] {
				ordered[text] = true
				steps = append(steps, Step{line.Time, line.Node, KindOrdered, text})
			}
		case event.RolloutDecided{}.Kind().Message:
			steps = append(steps, Step{line.Time, line.Node, KindDecided, decidedText(&line)})
		case event.RolloutDecider{}.Kind().Message:
			if line.Former != "" {
				steps = append(steps, Step{line.Time, line.Node, KindDecider, deciderText(&line)})
			}
		case event.RolloutChanged{}.Kind().Message:
			follow(followed, &line)
		}
	}
	for phase, nodes := range followed {
		steps = append(steps, Step{nodes.last, nodes.lastNode, KindFollowed, followedText(phase, nodes)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Text, b.Text)) })
	return Timeline{Steps: steps}
}

// concerns reports whether a line may be of a roll-out of a service; empty for any one.
// The decider is that of all services.
func concerns(line *Line, service string) bool {
	return service == "" || line.Service == service || line.Message == (event.RolloutDecider{}).Kind().Message
}

// follow takes in that a node goes by a phase.
func follow(followed map[phaseKey]*followers, line *Line) {
	key := phaseKey{line.Service, line.Target, line.Phase, line.Order}
	known, found := followed[key]
	if !found {
		known = &followers{first: line.Time}
		followed[key] = known
	}
	known.last, known.lastNode = line.Time, line.Node
	known.count++
}

func followedText(phase phaseKey, nodes *followers) string {
	return fmt.Sprintf("%s to %s: %d nodes go by %s, the last one (%s) after %v",
		phase.service, phase.target, nodes.count, phase.phase, nodes.lastNode, nodes.last.Sub(nodes.first).Round(time.Millisecond))
}

func orderText(line *Line) string {
	if line.Withdrawn {
		return fmt.Sprintf("%s: the order is withdrawn", line.Service)
	}
	return fmt.Sprintf("%s to %s within %s", line.Service, line.Target, line.Duration)
}

func decidedText(line *Line) string {
	text := fmt.Sprintf("%s to %s: %s, since %s; counts of %d nodes", line.Service, line.Target, line.Phase, line.Reason, line.Nodes)
	if line.Error != "" {
		text += "; not written: " + line.Error
	}
	return text
}

func deciderText(line *Line) string {
	why := "it cannot write to the store"
	if line.Error != "" {
		why = line.Error
	}
	return fmt.Sprintf("reports to %s in place of %s: %s", line.Peer, line.Former, why)
}
