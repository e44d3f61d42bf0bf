package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/event"
)

// Kinds of steps in the timeline of rollouts.
const (
	KindOrdered = "ordered"  // an operator ordered a rollout or withdrew the order
	KindDecided = "decided"  // the decider wrote a phase or failed to
	KindAdopted = "followed" // nodes applied a phase
	KindDecider = "decider"  // a node reports to another decider
)

// phaseKey identifies a phase of a rollout.
type phaseKey struct {
	service, target, phase string
	order                  uint64
}

// phaseAdoption records when nodes applied a phase.
type phaseAdoption struct {
	first, last time.Time
	lastNode    string
	nodes       int
}

// RolloutTimeline returns the timeline of rollouts since a time: orders, decisions with their
// reasons, and how soon the nodes applied them. If service is not empty, only rollouts of that
// service are included.
func RolloutTimeline(lines []Line, service string, since time.Time) Timeline {
	var steps []Step
	seenOrders := make(map[string]bool) // keyed by text, because each node logs the order
	adoptions := make(map[phaseKey]*phaseAdoption)
	for _, line := range sortByTime(lines) {
		if line.Time.Before(since) || !matchesService(&line, service) {
			continue
		}
		switch line.Message {
		case event.RolloutOrdered{}.Kind().Message:
			text := orderText(&line)
			if !seenOrders[text] {
				seenOrders[text] = true
				steps = append(steps, Step{line.Time, line.Node, KindOrdered, text})
			}
		case event.RolloutDecided{}.Kind().Message:
			steps = append(steps, Step{line.Time, line.Node, KindDecided, decisionText(&line)})
		case event.DeciderChanged{}.Kind().Message:
			if line.Former != "" {
				steps = append(steps, Step{line.Time, line.Node, KindDecider, deciderText(&line)})
			}
		case event.RolloutChanged{}.Kind().Message:
			recordAdoption(adoptions, &line)
		}
	}
	for phase, adoption := range adoptions {
		steps = append(steps, Step{adoption.last, adoption.lastNode, KindAdopted, adoptionText(phase, adoption)})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Text, b.Text)) })
	return Timeline{Steps: steps}
}

// matchesService reports whether a line concerns rollouts of the service; an empty service
// matches every line. Changes of the decider concern all services.
func matchesService(line *Line, service string) bool {
	return service == "" || line.Service == service || line.Message == (event.DeciderChanged{}).Kind().Message
}

// recordAdoption records that a node applied a phase.
func recordAdoption(adoptions map[phaseKey]*phaseAdoption, line *Line) {
	key := phaseKey{line.Service, line.Target, line.Phase, line.Order}
	adoption, exists := adoptions[key]
	if !exists {
		adoption = &phaseAdoption{first: line.Time}
		adoptions[key] = adoption
	}
	adoption.last, adoption.lastNode = line.Time, line.Node
	adoption.nodes++
}

func adoptionText(phase phaseKey, adoption *phaseAdoption) string {
	return fmt.Sprintf("%s to %s: %d nodes go by %s, the last one (%s) after %v",
		phase.service, phase.target, adoption.nodes, phase.phase, adoption.lastNode, adoption.last.Sub(adoption.first).Round(time.Millisecond))
}

func orderText(line *Line) string {
	if line.Withdrawn {
		return fmt.Sprintf("%s: the order is withdrawn", line.Service)
	}
	return fmt.Sprintf("%s to %s within %s", line.Service, line.Target, line.Duration)
}

func decisionText(line *Line) string {
	text := fmt.Sprintf("%s to %s: %s, since %s; counts of %d nodes", line.Service, line.Target, line.Phase, line.Reason, line.Nodes)
	if line.Error != "" {
		text += "; not written: " + line.Error
	}
	return text
}

func deciderText(line *Line) string {
	reason := "it cannot write to the store"
	if line.Error != "" {
		reason = line.Error
	}
	return fmt.Sprintf("reports to %s in place of %s: %s", line.Peer, line.Former, reason)
}
