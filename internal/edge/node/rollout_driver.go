package node

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/decide/rollout"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/roster"
)

// methodReport is the call by which a node reports to the one that decides.
const methodReport = "rollout.report"

const (
	// reportTimeout bounds a report. Three fit into the time for which a grant holds,
	// so that a node finds the next decider before its grants end.
	reportTimeout = 600 * time.Millisecond
	// passedOver is how long a node is no decider that did not answer, or that cannot
	// write to the store.
	passedOver = 2 * time.Second
)

// tickPause is how many times longer than a judgment the pause after it is at least:
// with 225 orders on a fifth of a core one takes 0.2 s, in which requests wait.
const tickPause = 10

// deciders chooses the node to report to. It is not safe for concurrent use.
type deciders struct {
	passed map[string]time.Duration // by name: until when
	// current is the node that was asked last, and failure how that failed.
	current string
	failure error
	// told is what an incarnation of a decider has answered to.
	incarnation string
	told        map[rollout.Subject]rollout.Counts
}

func newDeciders() deciders {
	return deciders{passed: make(map[string]time.Duration), told: make(map[rollout.Subject]rollout.Counts)}
}

// choose returns the first candidate that was not passed over lately, or the first
// of all if each was.
func (d *deciders) choose(now time.Duration, candidates []roster.Member) roster.Member {
	for _, one := range candidates {
		if now >= d.passed[one.Name] {
			return one
		}
	}
	return candidates[0]
}

// pass passes a candidate over for some time.
func (d *deciders) pass(now time.Duration, name string) { d.passed[name] = now + passedOver }

// forget lets the next decider be told all.
func (d *deciders) forget() {
	d.incarnation = ""
	clear(d.told)
}

// answered notes what a decider was told. One that has started anew does not heed
// what leaves out something, and is told all next time.
func (d *deciders) answered(incarnation string, report rollout.Report) {
	if report.Decider != "" && incarnation != report.Decider {
		d.forget()
		return
	}
	d.incarnation = incarnation
	for _, row := range report.Rows {
		d.told[row.Subject] = row.Counts
	}
}

// run reports while there are roll-outs, and takes their steps, until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	if !r.enabled {
		return
	}
	for {
		if !r.open.Load() {
			select {
			case <-r.begun:
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

// round reports once and takes the steps that are due. It returns the pause until
// the next.
func (r *rollouts) round(ctx context.Context) time.Duration {
	started := r.clock.Now()
	r.mutex.Lock()
	members := r.nodes.Members(started)
	participants := rollout.Participants(members)
	to := r.member
	if candidates := rollout.Candidates(members); len(candidates) > 0 {
		to = r.deciders.choose(started, candidates)
	}
	report := r.report(started, to.Name)
	r.mutex.Unlock()
	if !r.takesPart(participants) {
		return rollout.Interval(len(participants))
	}
	reply, err := r.ask(ctx, to, report)
	r.heed(started, to, report, reply, err)
	r.advance(ctx)
	return max(rollout.Interval(len(participants))-(r.clock.Now()-started), 0)
}

// takesPart reports whether this node is one of those that report. Alone, it is.
func (r *rollouts) takesPart(participants []roster.Member) bool {
	own := func(one roster.Member) bool { return one.Name == r.member.Name }
	return len(participants) == 0 || slices.ContainsFunc(participants, own)
}

// report makes the report of this node to another one. The caller holds the mutex.
func (r *rollouts) report(now time.Duration, to string) rollout.Report {
	if to != r.deciders.current {
		r.deciders.forget()
	}
	report := rollout.Report{Node: r.incarnation, Decider: r.deciders.incarnation, Rows: r.tally.Changed(r.deciders.told)}
	for _, service := range r.book.Open() {
		known := r.book.Of(service)
		others := r.leaves.Supply(service).Others
		report.Orders = append(report.Orders, rollout.Progress{
			Service: service, Order: known.Order.Revision, Phase: known.Phase(), Age: known.Age(now), Bad: known.Bad,
			Busy: r.conn.InFlightAt(func(boot string) bool { return others[boot] }),
		})
	}
	return report
}

// ask hands a report to the node that decides, which may be this one.
func (r *rollouts) ask(ctx context.Context, to roster.Member, report rollout.Report) (rollout.Reply, error) {
	if to.Name == r.member.Name {
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
func (r *rollouts) serve(server *peer.Server) {
	peer.Register(server, methodReport, func(_ context.Context, _ netip.AddrPort, report *rollout.Report) (*rollout.Reply, error) {
		if !r.enabled {
			return nil, oops.In("frontend").With("step", methodReport).Errorf("roll-outs are not heeded here")
		}
		reply := r.decide(*report)
		return &reply, nil
	})
}

// decide takes in a report as the node that decides.
func (r *rollouts) decide(report rollout.Report) rollout.Reply {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	reply := r.decider.Report(now, report)
	reply.Deciding = r.forwarder.Fresh() && now >= r.unwritable && !r.draining.Load()
	return reply
}

// heed takes in the answer to a report that was sent at some time.
func (r *rollouts) heed(sent time.Duration, to roster.Member, report rollout.Report, reply rollout.Reply, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	result := resultAnswered
	switch {
	case err != nil:
		result = resultFailed
		r.deciders.pass(now, to.Name)
	case !reply.Deciding:
		result = resultPassed
		r.deciders.pass(now, to.Name)
	}
	r.counters.reports.WithLabelValues(result).Inc()
	if to.Name != r.deciders.current {
		event.Log(r.logger, event.RolloutDecider{Peer: to.Name, Former: r.deciders.current, Error: r.deciders.failure})
		r.deciders.current = to.Name
	}
	r.deciders.failure = err
	if err == nil {
		r.deciders.answered(reply.Decider, report)
	}
	changed := false
	for _, grant := range reply.Grants {
		changed = r.granted(sent, grant) || changed
	}
	if changed {
		r.publishLocked()
	}
}

// granted takes in the word on one order, and reports whether the phase is news.
// The caller holds the mutex.
func (r *rollouts) granted(sent time.Duration, grant rollout.Grant) bool {
	news := r.book.Merge(r.clock.Now(), grant.Service, grant.Order, grant.Age, grant.Record, grant.Bad)
	known := r.book.Of(grant.Service)
	if grant.Open && known.Order.Revision == grant.Order && known.Bad == "" {
		r.conn.Grant(r.index.Of(grant.Service), sent+rollout.GrantTTL)
	}
	if known.Bad != "" {
		r.conn.Grant(r.index.Of(grant.Service), sent)
	}
	if news {
		r.logPhase(known)
		r.settle()
	}
	return news
}

// advance writes the steps that are due, if this node decides. A step is written
// beside the reports, which must not wait for the store.
func (r *rollouts) advance(ctx context.Context) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	if !r.decider.Active(now) || now < r.nextTick {
		return
	}
	steps := r.decider.Tick(now, time.Now(), r.supply)
	r.nextTick = now + tickPause*(r.clock.Now()-now)
	for _, step := range steps {
		if service := step.Record.Service; !r.writing[service] {
			r.writing[service] = true
			go r.write(ctx, step)
		}
	}
}

// supply tells the decider of the leaves of a service. The caller holds the mutex.
func (r *rollouts) supply(service string) rollout.Supply {
	there := r.leaves.Supply(service)
	return rollout.Supply{Target: there.Target, Control: there.Control, Mixed: r.leaves.Mixed(service)}
}

// write writes one step.
func (r *rollouts) write(ctx context.Context, step rollout.Transition) {
	revision, err := r.ports.Rollouts.Advance(ctx, step)
	record := step.Record
	record.Revision = revision
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.writing, record.Service)
	result := resultWritten
	switch {
	case errors.Is(err, ErrOvertaken):
		result = resultOvertaken // what took its place comes with the next changes
	case err != nil:
		result = resultFailed
		r.unwritable = r.clock.Now() + passedOver
	case r.setRecord(record):
		r.publishLocked()
	}
	r.counters.steps.WithLabelValues(string(record.Phase), result).Inc()
	event.Log(r.logger, event.RolloutDecided{
		Service: record.Service, Version: record.Version, Phase: string(record.Phase), Reason: record.Reason,
		Nodes: r.decider.Nodes(), Revision: revision, Error: err,
	})
}
