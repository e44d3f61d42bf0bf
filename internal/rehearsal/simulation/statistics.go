package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/micaplank/micaplank/internal/decide/dispatch"
)

// Bounds of the histograms, in microseconds, and their significant digits.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

// statistics gathers what a run measures, by phase.
type statistics struct {
	config *Config
	phases []*phaseStatistics
}

type phaseStatistics struct {
	phase         Phase
	classes       []*classStatistics
	sends, needed int
	busy, useful  time.Duration
}

type classStatistics struct {
	result   ClassResult
	covered  float64
	taken    int
	latency  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newStatistics(config *Config) *statistics {
	s := &statistics{config: config}
	all := Phase{Name: PhaseAll, From: config.Scenario.WarmUp, To: config.Scenario.Duration}
	for _, phase := range append([]Phase{all}, config.Scenario.Phases...) {
		p := &phaseStatistics{phase: phase}
		for _, class := range config.Service.Classes {
			p.classes = append(p.classes, &classStatistics{
				result:   ClassResult{Class: class.Name, Kind: class.Kind},
				latency:  newHistogram(),
				refusals: newHistogram(),
			})
		}
		s.phases = append(s.phases, p)
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
}

// record puts a latency in; none is beyond the bounds.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	value := min(max(latency.Microseconds(), lowestLatency), highestLatency)
	_ = histogram.RecordValue(value)
}

// at calls do for each phase that a moment belongs to.
func (s *statistics) at(moment Time, do func(*phaseStatistics)) {
	for _, phase := range s.phases {
		if moment >= Time(phase.phase.From) && moment < Time(phase.phase.To) {
			do(phase)
		}
	}
}

// noteSend counts an attempt.
func (w *world) noteSend(q *query, send dispatch.Send) {
	first := q.needed.add(send.Shard)
	w.statistics.at(w.engine.now, func(phase *phaseStatistics) {
		phase.sends++
		if first {
			phase.needed++
		}
	})
}

// noteBusy adds up the slot time of work that ends.
func (w *world) noteBusy(l *emulatedLeaf, ended *work) {
	spent := w.engine.now - ended.started
	if w.measured(w.engine.now) {
		l.busy += spent
	}
	w.statistics.at(w.engine.now, func(phase *phaseStatistics) { phase.busy += spent })
}

// collect counts a finished query in the phases in which it was sent.
func (w *world) collect(q *query) {
	w.statistics.at(q.sentAt, func(phase *phaseStatistics) {
		if !q.cancelled {
			w.collectClass(phase.classes[q.class], q)
		}
		if q.finishedAt <= q.deadline {
			phase.useful += w.usefulWork(q)
		}
	})
}

// usefulWork is the mean work of the shards that were answered.
func (w *world) usefulWork(q *query) time.Duration {
	return w.meanWork(q, q.finish.Snapshot.Epoch) * time.Duration(len(q.finish.Answered))
}

func (w *world) collectClass(class *classStatistics, q *query) {
	class.result.Sent++
	clients := time.Duration(w.config.Deployment.Network.Clients)
	latency := unansweredLatency
	switch q.finish.Outcome {
	case dispatch.OutcomeAnswered:
		class.result.Answered++
		latency = q.finishedAt + clients - q.sentAt
	case dispatch.OutcomePartial:
		class.result.Partial++
	case dispatch.OutcomeNotRun:
		class.result.NotRun++
		class.collectRefusal(q)
	case dispatch.OutcomeFailed:
		class.result.Failed++
	case dispatch.OutcomeUnknown:
		class.result.Unknown++
	}
	record(class.latency, latency)
	if q.finish.Outcome != dispatch.OutcomeAnswered {
		class.countReason(q.finish.Reason)
	}
	if q.finish.Outcome != dispatch.OutcomeNotRun {
		class.taken++
		class.covered += float64(len(q.finish.Answered)) / float64(max(q.finish.Total, 1))
	}
}

func (class *classStatistics) countReason(reason dispatch.Reason) {
	if class.result.Reasons == nil {
		class.result.Reasons = make(map[dispatch.Reason]int)
	}
	class.result.Reasons[reason]++
}

func (class *classStatistics) collectRefusal(q *query) {
	record(class.refusals, q.finishedAt-q.atNode)
	if q.finish.Reason == dispatch.ReasonOverload && q.finish.RetryAfter <= 0 {
		class.result.Bare++
	}
}

// summarise turns the statistics into the Result.
func (w *world) summarise() {
	for _, q := range w.queries {
		if q.lost {
			w.statistics.at(q.sentAt, func(phase *phaseStatistics) { phase.classes[q.class].result.Lost++ })
		}
	}
	w.result.Policy = w.config.Policy.Name
	w.result.Service = w.config.Service.Name
	w.result.Scenario = w.config.Scenario.Name
	w.result.Seed = w.config.Seed
	w.result.Queries = len(w.queries)
	for _, phase := range w.statistics.phases {
		w.result.Phases = append(w.result.Phases, phase.summary(w.slotTime(phase.phase)))
	}
	for _, l := range w.leaves {
		w.result.Leaves = append(w.result.Leaves, LeafResult{
			Zone: l.zone, Received: l.received, Executed: l.executed,
			Busy: l.busy.Seconds() * float64(len(w.leaves)) / w.slotTime(w.statistics.phases[0].phase).Seconds(),
		})
	}
}

// slotTime is the time of all slots in a window.
func (w *world) slotTime(phase Phase) time.Duration {
	return time.Duration(phase.To-phase.From) * time.Duration(w.config.Service.Slots*w.config.Service.Leaves)
}

func (p *phaseStatistics) summary(slotTime time.Duration) PhaseResult {
	summary := PhaseResult{
		Name: p.phase.Name, From: p.phase.From, To: p.phase.To,
		Sends: p.sends, Needed: p.needed,
		Busy:   p.busy.Seconds() / slotTime.Seconds(),
		Useful: p.useful.Seconds() / slotTime.Seconds(),
	}
	for _, class := range p.classes {
		summary.Classes = append(summary.Classes, class.summary())
	}
	return summary
}

func (class *classStatistics) summary() ClassResult {
	summary := class.result
	if class.taken > 0 {
		summary.Coverage = class.covered / float64(class.taken)
	}
	summary.RefusalP99 = float64(class.refusals.ValueAtQuantile(99)) / 1000
	for _, point := range QuantilePoints {
		summary.Latency = append(summary.Latency, float64(class.latency.ValueAtQuantile(point*100))/1000)
	}
	return summary
}
