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

// methodReport is the call by which a node reports to the one that decides.
const methodReport = "rollout.report"

// reportTimeout bounds a report. Three fit into the time for which a grant holds, so that
// a node finds the next decider before its grants end.
const reportTimeout = 600 * time.Millisecond

// run reports while there are roll-outs, and takes their steps, until ctx ends.
func (r *rolloutDriver) run(ctx context.Context) {
	if !r.enabled {
		return
	}
	for {
		if !r.open.Load() {
			select {
			case <-r.wake:
			case <-ctx.Done():
				return
			}
		}
		pause := r.round(ctx)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// round reports once and writes the steps that are due. It returns the pause until
// the next.
func (r *rolloutDriver) round(ctx context.Context) time.Duration {
	started := r.clock.Now()
	r.view.mutex.Lock()
	members := r.view.nodes.Members(started)
	participants := rollout.Participants(members)
	to := r.self
	if candidates := rollout.Candidates(members); len(candidates) > 0 {
		to = r.reports.Choose(started, candidates)
	}
	report := r.report(started, to.Name)
	r.view.mutex.Unlock()
	if !rollout.Reports(r.self.Name, participants) {
		return rollout.Interval(len(participants))
	}
	reply, err := r.send(ctx, to, report)
	r.applyReply(started, to, report, reply, err)
	r.advance(ctx)
	return max(rollout.Interval(len(participants))-(r.clock.Now()-started), 0)
}

// report makes the report of this node to another one. The caller holds the mutex of the
// view.
func (r *rolloutDriver) report(now time.Duration, to string) rollout.Report {
	if to != r.reportedTo {
		r.reports.Forget()
	}
	report := rollout.Report{Node: r.incarnation, Decider: r.reports.Decider(), Rows: r.counter.Changed(r.reports.Received())}
	for _, service := range r.table.Open() {
		known := r.table.Of(service)
		others := r.view.leaves.Supply(service).Others
		report.Orders = append(report.Orders, rollout.Progress{
			Service: service, Order: known.Order.Revision, Phase: known.Phase(), Age: known.Age(now), Bad: known.Bad,
			Busy: r.dispatcher.InFlightAt(func(boot string) bool { return others[boot] }),
		})
	}
	return report
}

// send sends a report to the node that decides, which may be this one.
func (r *rolloutDriver) send(ctx context.Context, to roster.Member, report rollout.Report) (rollout.Reply, error) {
	if to.Name == r.self.Name {
		return r.decide(report), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply rollout.Reply
	if err := r.peers.Call(ctx, to.Peer, methodReport, &report, &reply); err != nil {
		return rollout.Reply{}, oops.In("frontend").With("step", methodReport, "peer", to.Name).Wrap(err)
	}
	return reply, nil
}

// serve answers the reports of other nodes.
func (r *rolloutDriver) serve(server *peer.Server) {
	peer.Register(server, methodReport, func(_ context.Context, _ netip.AddrPort, report *rollout.Report) (*rollout.Reply, error) {
		if !r.enabled {
			return nil, oops.In("frontend").With("step", methodReport).Errorf("roll-outs are not heeded here")
		}
		reply := r.decide(*report)
		return &reply, nil
	})
}

// decide answers a report as the node that decides.
func (r *rolloutDriver) decide(report rollout.Report) rollout.Reply {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	now := r.clock.Now()
	reply := r.decider.Report(now, report)
	reply.Deciding = now >= r.unwritableUntil && r.mayDecide()
	return reply
}

// applyReply applies the answer to a report that was sent at some time.
func (r *rolloutDriver) applyReply(sent time.Duration, to roster.Member, report rollout.Report, reply rollout.Reply, err error) {
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	now := r.clock.Now()
	result := resultAnswered
	switch {
	case err != nil:
		result = resultFailed
		r.reports.Avoid(now, to.Name)
	case !reply.Deciding:
		result = resultPassed
		r.reports.Avoid(now, to.Name)
	}
	r.metrics.reports.WithLabelValues(result).Inc()
	if to.Name != r.reportedTo {
		event.Log(r.logger, event.RolloutDecider{Peer: to.Name, Former: r.reportedTo, Error: r.reportFailure})
		r.reportedTo = to.Name
	}
	r.reportFailure = err
	if err == nil {
		r.reports.Answered(reply.Decider, report)
	}
	changed := false
	for _, grant := range reply.Grants {
		changed = r.applyGrant(sent, grant) || changed
	}
	if changed {
		r.publish()
	}
}

// applyGrant applies what the decider says of one order, and reports whether the phase
// changed. The caller holds the mutex of the view.
func (r *rolloutDriver) applyGrant(sent time.Duration, grant rollout.Grant) bool {
	changed := r.table.Merge(r.clock.Now(), grant.Service, grant.Order, grant.Age, grant.Record, grant.Bad)
	known := r.table.Of(grant.Service)
	if grant.Open && known.Order.Revision == grant.Order && known.Bad == "" {
		r.dispatcher.Grant(r.view.index.Of(grant.Service), sent+rollout.GrantTTL)
	}
	if known.Bad != "" {
		r.dispatcher.Grant(r.view.index.Of(grant.Service), sent)
	}
	if changed {
		r.logPhase(known)
		r.tableChanged()
	}
	return changed
}

// advance writes the steps that are due, if this node decides. A step is written
// beside the reports, which must not wait for the store.
func (r *rolloutDriver) advance(ctx context.Context) {
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
			go r.write(ctx, step)
		}
	}
}

// supply returns what the decider needs to know of the leaves of a service. The caller
// holds the mutex of the view.
func (r *rolloutDriver) supply(service string) rollout.Supply {
	there := r.view.leaves.Supply(service)
	return rollout.Supply{Target: there.Target, Control: there.Control, Mixed: r.view.leaves.Mixed(service), Usable: there.Usable}
}

// write writes one step.
func (r *rolloutDriver) write(ctx context.Context, step rollout.Transition) {
	revision, err := r.store.Advance(ctx, step)
	record := step.Record
	record.Revision = revision
	r.view.mutex.Lock()
	defer r.view.mutex.Unlock()
	delete(r.writing, record.Service)
	result := resultWritten
	switch {
	case errors.Is(err, ErrOvertaken):
		result = resultOvertaken // the record that won comes with the next changes
	case err != nil:
		result = resultFailed
		r.unwritableUntil = r.clock.Now() + rollout.AvoidTime
	case r.setRecord(record):
		r.publish()
	}
	r.metrics.steps.WithLabelValues(string(record.Phase), result).Inc()
	event.Log(r.logger, event.RolloutDecided{
		Service: record.Service, Version: record.Version, Phase: string(record.Phase), Reason: record.Reason,
		Nodes: r.decider.Nodes(), Revision: revision, Error: err,
	})
}
