package node

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// methodReport is the method by which a node reports to the deciding node.
const methodReport = "rollout.report"

// reportTimeout bounds one report. Three reports fit into the lifetime of a grant, so that a node
// finds the next decider before its grants expire.
const reportTimeout = 600 * time.Millisecond

// run reports and writes steps while rollouts are unsettled, until ctx ends.
func (r *rolloutDriver) run(ctx context.Context) {
	if !r.enabled {
		return
	}
	for {
		if !r.unsettled.Load() {
			select {
			case <-r.wake:
			case <-ctx.Done():
				return
			}
		}
		pause := r.runRound(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// runRound reports once and writes the steps that are due. It returns the pause until the next
// round.
func (r *rolloutDriver) runRound(ctx context.Context) time.Duration {
	started := r.clock.Now()
	r.view.mutex.Lock()
	members := r.view.nodes.Members(started)
	participants := rollout.Participants(members)
	decider := r.self
	if candidates := rollout.Candidates(members); len(candidates) > 0 {
		decider = r.reporting.Choose(started, candidates)
	}
	report := r.buildReport(started, decider.Name)
	r.view.mutex.Unlock()
	if !rollout.MustReport(r.self.Name, participants) {
		return rollout.Interval(len(participants))
	}
	reply, err := r.sendReport(ctx, decider, report)
	r.applyReply(started, decider, report, reply, err)
	r.writeDueSteps(ctx)
	return max(rollout.Interval(len(participants))-(r.clock.Now()-started), 0)
}

// buildReport returns this node's report to a decider. The caller holds the mutex of the view.
func (r *rolloutDriver) buildReport(now time.Duration, decider string) rollout.Report {
	if decider != r.reportedTo {
		r.reporting.Reset()
	}
	report := rollout.Report{Node: r.incarnation, Decider: r.reporting.Decider(), Rows: r.counter.ChangedRows(r.reporting.AcknowledgedCounts())}
	for _, service := range r.table.UnsettledServices() {
		state := r.table.Lookup(service)
		others := r.view.leaves.Supply(service).Others
		report.Orders = append(report.Orders, rollout.Progress{
			Service: service, Order: state.Order.Number(), Version: state.Order.Version, Phase: state.Phase(), Age: state.Age(now), Bad: state.Bad,
			Busy: r.dispatcher.InFlightAt(func(boot string) bool { return others[boot] }),
		})
	}
	return report
}

// sendReport sends a report to the deciding node, which may be this one.
func (r *rolloutDriver) sendReport(ctx context.Context, decider roster.Member, report rollout.Report) (rollout.Reply, error) {
	if decider.Name == r.self.Name {
		return r.answerReport(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply rollout.Reply
	if err := r.peers.Call(ctx, decider.Peer, methodReport, &report, &reply); err != nil {
		return rollout.Reply{}, oops.In("frontend").With("step", methodReport, "peer", decider.Name).Wrap(err)
	}
	return reply, nil
}

// serveReports answers the reports of other nodes.
func (r *rolloutDriver) serveReports(server *peer.Server) {
	peer.Register(server, methodReport, func(_ context.Context, _ netip.AddrPort, report *rollout.Report) (*rollout.Reply, error) {
		if !r.enabled {
			return nil, oops.In("frontend").With("step", methodReport).Errorf("report of node %q rejected: rollouts are disabled on this node", report.Node)
		}
		reply := r.answerReport(*report)
		return &reply, nil
	})
}

// answerReport processes a report as the deciding node. It locks the mutex of the view.
func (r *rolloutDriver) answerReport(report rollout.Report) rollout.Reply {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	now := r.clock.Now()
	reply := r.decider.Report(now, report)
	reply.Deciding = now >= r.unwritableUntil && r.mayDecide()
	return reply
}

// applyReply applies the reply to a report that was sent at the given time. It locks the mutex of
// the view.
func (r *rolloutDriver) applyReply(sent time.Duration, decider roster.Member, report rollout.Report, reply rollout.Reply, err error) {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	now := r.clock.Now()
	result := resultAnswered
	switch {
	case err != nil:
		result = resultFailed
		r.reporting.Avoid(now, decider.Name)
	case !reply.Deciding:
		result = resultPassed
		r.reporting.Avoid(now, decider.Name)
	}
	r.metrics.reports.WithLabelValues(result).Inc()
	if decider.Name != r.reportedTo {
		event.Log(r.logger, event.DeciderChanged{Peer: decider.Name, Former: r.reportedTo, Error: r.reportFailure})
		r.reportedTo = decider.Name
	}
	r.reportFailure = err
	if err == nil {
		r.reporting.RecordReply(reply.Decider, report)
	}
	changed := false
	for _, grant := range reply.Grants {
		changed = r.applyGrant(sent, grant) || changed
	}
	if changed {
		r.publish()
	}
}

// applyGrant applies the decider's reply for one order, and reports whether the phase changed. The
// caller holds the mutex of the view.
func (r *rolloutDriver) applyGrant(sent time.Duration, grant rollout.Grant) bool {
	changed := r.table.Merge(r.clock.Now(), grant)
	state := r.table.Lookup(grant.Service)
	if grant.Open && state.Order.Is(grant.Order, grant.Version) && state.Bad == "" {
		r.dispatcher.Grant(r.view.index.Assign(grant.Service), sent+rollout.GrantTTL)
	}
	if state.Bad != "" {
		r.dispatcher.Grant(r.view.index.Assign(grant.Service), sent)
	}
	if changed {
		r.logPhase(state)
		r.applyTableChange()
	}
	return changed
}

// writeDueSteps starts the writes of the steps that are due if this node is the decider. The writes
// run concurrently, since reports must not wait for the store. It locks the mutex of the view.
func (r *rolloutDriver) writeDueSteps(ctx context.Context) {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	now := r.clock.Now()
	if !r.decider.Active(now) || now < r.nextTick {
		return
	}
	steps := r.decider.Tick(now, time.Now(), r.supply)
	r.nextTick = now + rollout.TickPause(r.clock.Now()-now)
	for _, step := range steps {
		if service := step.Record.Service; !r.writing[service] {
			r.writing[service] = true
			go r.writeStep(ctx, step)
		}
	}
}

// supply returns the decider's view of the leaves of a service. The caller holds the mutex of the
// view.
func (r *rolloutDriver) supply(service string) rollout.Supply {
	available := r.view.leaves.Supply(service)
	return rollout.Supply{Target: available.Target, Control: available.Control, Mixed: r.view.leaves.HasMixedVersions(service), Usable: available.Usable}
}

// writeStep writes one step and applies the resulting record. It locks the mutex of the view.
func (r *rolloutDriver) writeStep(ctx context.Context, step rollout.Transition) {
	written, err := r.store.Advance(ctx, step)
	record := step.Record
	record.SetWritten(written)
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	delete(r.writing, record.Service)
	result := resultWritten
	switch {
	case errors.Is(err, ErrConflict):
		result = resultOvertaken // the winning record arrives with the next changes
	case err != nil:
		result = resultFailed
		r.unwritableUntil = r.clock.Now() + rollout.AvoidTime
	case r.setRecord(record):
		r.publish()
	}
	r.metrics.steps.WithLabelValues(string(record.Phase), result).Inc()
	event.Log(r.logger, event.RolloutDecided{
		Service: record.Service, Target: record.Version, Phase: string(record.Phase), Reason: record.Reason,
		Nodes: r.decider.Nodes(), Revision: written.Revision, Error: err,
	})
}
