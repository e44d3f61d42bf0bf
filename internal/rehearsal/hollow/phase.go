package hollow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/micaplank/micaplank/internal/dissemination"
)

// plan says what happens in a scenario.
type plan struct {
	changes  bool
	restarts bool
	cut      func(Config) []int
}

var scenarios = map[Scenario]plan{
	ScenarioRest:    {},
	ScenarioChanges: {changes: true},
	ScenarioRolling: {changes: true, restarts: true},
	ScenarioCut:     {changes: true, cut: lastZone},
	ScenarioRegion:  {changes: true, cut: lastRegion},
}

func lastZone(config Config) []int { return []int{config.Zones - 1} }

func lastRegion(config Config) []int {
	var zones []int
	for zone := config.Regions - 1; zone < config.Zones; zone += config.Regions {
		zones = append(zones, zone)
	}
	return zones
}

// cutZones returns the zones that the plan cuts off.
func (p plan) cutZones(config Config) []int {
	if p.cut == nil {
		return nil
	}
	return p.cut(config)
}

// settleLimit bounds the time after a phase until all views agree again.
const settleLimit = 90 * time.Second

// answerLimit bounds the wait for the answers of proposers, some of which were
// restarted and give none.
const answerLimit = 16 * time.Second

// phase runs one scenario and measures it. What follows the end of the faults,
// until all views agree, is not part of the loads.
func (r *run) phase(ctx context.Context, scenario Scenario) (Phase, error) {
	plan := scenarios[scenario]
	r.fleet.cut(plan.cutZones(r.config))
	r.tracker.reset()
	before := r.take()
	if err := r.disturb(ctx, plan, before.at+r.config.Duration); err != nil {
		return Phase{}, err
	}
	after := r.take()
	r.fleet.cut(nil)
	agreed, err := r.settle(ctx)
	if err != nil {
		return Phase{}, err
	}
	end := r.take()
	phase := Phase{
		Scenario:            scenario,
		Seconds:             (after.at - before.at).Seconds(),
		ProcessorShare:      after.processorShare(before, r.config.Nodes),
		Loads:               after.loads(before, r.tracker.peaks),
		StoreCallsPerSecond: float64(after.storeCalls-before.storeCalls) / (after.at - before.at).Seconds(),
		Changes:             r.tracker.summary(),
		Members:             end.members(before),
	}
	phase.Changes.NotServing = r.config.Nodes - r.serving()
	phase.Members.AgreedSeconds = agreed
	return phase, nil
}

// disturb lets the plan's changes and restarts happen until a time.
func (r *run) disturb(ctx context.Context, plan plan, end time.Duration) error {
	nextChange, nextRestart := r.fleet.now(), r.fleet.now()
	for r.fleet.now() < end {
		now := r.fleet.now()
		if plan.changes && now >= nextChange {
			nextChange += r.config.ChangeInterval
			r.change(plan)
		}
		if plan.restarts && now >= nextRestart {
			nextRestart += r.config.RestartInterval
			// A stride that shares no factor with the zones visits all zones.
			const stride = 7
			r.fleet.restart((r.restarts * stride) % r.config.Nodes)
			r.restarts++
		}
		if err := r.look(ctx); err != nil {
			return err
		}
	}
	return nil
}

// look lets one step pass and notes how far the changes have come.
func (r *run) look(ctx context.Context) error {
	if err := r.fleet.advance(ctx, r.step()); err != nil {
		return err
	}
	r.tracker.observe(r.fleet.now(), r.fleet.statuses())
	r.tracker.observeTraffic(r.fleet.now(), r.fleet.traffic())
	return nil
}

// change proposes a change on a random node that serves and is not cut off.
func (r *run) change(plan plan) {
	statuses := r.fleet.statuses()
	slots := r.config.slots()
	for range 10 * len(statuses) {
		index := r.random.IntN(len(statuses))
		isCut := slices.Contains(plan.cutZones(r.config), slots[index].zone)
		if !statuses[index].serves || isCut {
			continue
		}
		r.changes++
		token := fmt.Sprintf("%026d", r.changes)
		begun := r.fleet.now()
		r.tracker.propose(token, begun)
		r.fleet.propose(index, r.config.change(r.changes), token, func(result dissemination.Result) {
			r.tracker.answered(token, r.fleet.now()-begun, result)
		})
		return
	}
}

// settle runs on until all views agree and all changes are in force. It
// returns the time that took until the views agreed, or -1.
func (r *run) settle(ctx context.Context) (agreed float64, err error) {
	begin := r.fleet.now()
	agreed = -1
	for r.fleet.now() < begin+settleLimit {
		if agreed < 0 && r.fleet.agreed() {
			agreed = (r.fleet.now() - begin).Seconds()
		}
		answered := r.tracker.answeredAll() || r.fleet.now() > begin+answerLimit
		if agreed >= 0 && answered && r.tracker.inForceAll() && r.serving() == r.config.Nodes {
			break
		}
		if err := r.look(ctx); err != nil {
			return agreed, err
		}
	}
	return agreed, nil
}
