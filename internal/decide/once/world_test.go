package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"
)

// world is a set of owner processes with their faults, in true time. The
// driver's rules of the package comment are played as separate steps, so that
// a freeze, a crash or a replacement can come between any two of them.
type world struct {
	draw   *rapid.T
	config Config
	now    time.Duration // true time since base
	// log holds the voter set of each revision; accepted is the highest
	// revision that a majority holds.
	log       [][]string
	accepted  int
	newest    map[string]*process // by slot: the newest acknowledged incarnation
	processes []*process
	tasks     []*task
	messages  []*task // sent, not yet arrived at a leaf
	ids       []ulid.ULID
	runs      map[ulid.ULID]int
}

type process struct {
	slot          string
	ledger        *Ledger[int]
	revision      int
	awaiting      bool // suspended until its revision is accepted
	dead, frozen  bool
	confirmed     time.Duration
	offset, wrong time.Duration // of the wall clock: its own, and after a jump back
}

type task struct {
	process  *process
	id       ulid.ULID
	decision Decision[int]
	checked  bool
	// touched: when the decision was taken, the id had run or was on its way.
	touched bool
}

var (
	base  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	slots = []string{"a", "b", "c"}
)

func testConfig() Config {
	return Config{
		Window: 30 * time.Second, Freshness: 5 * time.Second, Skew: 5 * time.Second,
		ClockDifference: time.Second, Capacity: 6,
	}
}

const stepsOfASchedule = 150

// runSchedule plays one schedule and returns the first broken promise.
func runSchedule(draw *rapid.T, config Config) error {
	w := &world{
		draw: draw, config: config, log: [][]string{{"a", "b"}},
		newest: map[string]*process{}, runs: map[ulid.ULID]int{},
	}
	for _, slot := range slots {
		w.replace(slot)
	}
	for range stepsOfASchedule {
		if err := w.step(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) step() error {
	switch w.number("action", 26) {
	case 0, 1, 2, 3, 4:
		w.submit()
	case 5, 6, 7, 8, 9:
		return w.advanceTask()
	case 10, 11, 12:
		return w.deliver()
	case 13, 14:
		w.now += w.pick("wait", time.Millisecond, 300*time.Millisecond, 2*time.Second, 6*time.Second)
	case 15:
		w.now += w.pick("long wait", 11*time.Second, 20*time.Second, 40*time.Second)
		w.confirmAll()
	case 16, 17, 18:
		w.confirmAll()
	case 19:
		w.anyProcess().dead = w.number("really", 2) == 0
	case 20:
		p := w.anyProcess()
		p.frozen = !p.frozen
	case 21:
		w.replace(slots[w.number("slot", len(slots))])
	case 22:
		w.changeVoters()
	case 23:
		w.install(w.anyProcess())
	case 24:
		p := w.anyProcess()
		p.wrong = w.pick("jump back", 0, 0, 15*time.Second, 45*time.Second, time.Hour)
	case 25:
		if p := w.anyProcess(); p.runs() {
			p.ledger.Expire(w.reading(p))
		}
	}
	return nil
}

func (w *world) number(label string, below int) int {
	return rapid.IntRange(0, below-1).Draw(w.draw, label)
}

func (w *world) pick(label string, durations ...time.Duration) time.Duration {
	return durations[w.number(label, len(durations))]
}

func (w *world) anyProcess() *process { return w.processes[w.number("process", len(w.processes))] }

func (p *process) runs() bool { return !p.dead && !p.frozen }

func (w *world) reading(p *process) Reading {
	return Reading{Wall: base.Add(w.now + p.offset - p.wrong), Monotonic: w.now}
}

// replace starts a machine in a slot; the one before may still be alive.
func (w *world) replace(slot string) {
	half := int(w.config.ClockDifference.Milliseconds() / 2)
	p := &process{slot: slot, confirmed: w.now, revision: w.accepted}
	p.offset = time.Duration(w.number("offset", 2*half+1)-half) * time.Millisecond
	p.ledger = NewLedger[int](w.config, w.reading(p))
	w.newest[slot] = p
	w.processes = append(w.processes, p)
}

// confirmAll lets every process that may be confirmed by a majority be so.
func (w *world) confirmAll() {
	for _, p := range w.processes {
		if p.runs() && w.newest[p.slot] == p && p.revision >= w.accepted {
			p.confirmed = w.now
		}
	}
}

// changeVoters proposes a voter set, or lets a majority accept the last one.
func (w *world) changeVoters() {
	if last := len(w.log) - 1; w.accepted < last {
		w.accepted = last
		return
	}
	sets := [][]string{{"a", "b"}, {"a", "b", "c"}, {"b", "c"}, {"a", "c"}}
	w.log = append(w.log, sets[w.number("voters", len(sets))])
}

// install takes the newest revision over, or the ownership once it is accepted.
func (w *world) install(p *process) {
	switch last := len(w.log) - 1; {
	case !p.runs():
	case p.revision < last:
		p.ledger.Suspend()
		p.revision = last
		p.awaiting = true
	case p.awaiting && p.revision <= w.accepted:
		p.ledger.Reset(w.reading(p))
		p.awaiting = false
	}
}

// submit hands a new or a known id to a process, which decides at once.
func (w *world) submit() {
	p := w.anyProcess()
	if !p.runs() {
		return
	}
	id := w.mint()
	if Owner(w.log[p.revision], id) != p.slot {
		return
	}
	t := &task{process: p, id: id, touched: w.touched(id)}
	t.decision = p.ledger.Begin(w.reading(p), id)
	w.tasks = append(w.tasks, t)
}

func (w *world) touched(id ulid.ULID) bool {
	under := func(t *task) bool { return t.id == id && t.checked }
	return w.runs[id] > 0 || slices.ContainsFunc(w.messages, under) || slices.ContainsFunc(w.tasks, under)
}

func (w *world) mint() ulid.ULID {
	if len(w.ids) > 0 && w.number("known id", 3) > 0 {
		return w.ids[max(0, len(w.ids)-1-w.number("which", 8))]
	}
	skew := w.pick("skew", 0, 0, 0, 4*time.Second, -4*time.Second, 14*time.Second, 60*time.Second, -20*time.Second)
	var id ulid.ULID
	_ = id.SetTime(uint64(base.Add(w.now + skew).UnixMilli()))
	id[15] = byte(len(w.ids))
	w.ids = append(w.ids, id)
	return id
}

// advanceTask checks the freshness behind a decision, and then acts on it.
func (w *world) advanceTask() error {
	if len(w.tasks) == 0 {
		return nil
	}
	index := w.number("task", len(w.tasks))
	t := w.tasks[index]
	if t.process.dead {
		w.tasks = slices.Delete(w.tasks, index, index+1)
		return nil
	}
	if t.process.frozen {
		return nil
	}
	if !t.checked && t.decision.Kind == Run {
		if t.checked = w.counts(t); t.checked {
			return nil
		}
		t.process.ledger.Release(t.id)
	}
	w.tasks = slices.Delete(w.tasks, index, index+1)
	if t.decision.Kind == Run && t.checked {
		w.messages = append(w.messages, t)
	}
	if t.decision.Kind == Refuse && !t.decision.MayHaveRun && w.counts(t) && t.touched {
		return fmt.Errorf("refused as %s and not run, but the id may have run", t.decision.Reason)
	}
	if t.decision.Kind == Replay && w.runs[t.id] != t.decision.Outcome {
		return fmt.Errorf("replayed %d for an id that ran %d times", t.decision.Outcome, w.runs[t.id])
	}
	return nil
}

// counts is the check behind a decision: still fresh, and still the owner.
func (w *world) counts(t *task) bool {
	return w.now-t.process.confirmed <= w.config.Freshness && t.process.ledger.Holds(t.decision)
}

// deliver lets a message reach its leaf, be refused there, or lose its reply.
func (w *world) deliver() error {
	if len(w.messages) == 0 {
		return nil
	}
	index := w.number("message", len(w.messages))
	t := w.messages[index]
	w.messages = slices.Delete(w.messages, index, index+1)
	fate := w.number("fate", 4)
	if fate == 0 { // the leaf proves that it did not run
		if t.process.runs() {
			t.process.ledger.Release(t.id)
		}
		return nil
	}
	if w.runs[t.id]++; w.runs[t.id] > 1 {
		return fmt.Errorf("id %s (minted at %s) ran twice, the second time by %s", t.id, t.id.Timestamp().Sub(base), t.process.slot)
	}
	if fate > 1 && t.process.runs() {
		t.process.ledger.Finish(t.id, 1)
	}
	return nil
}
