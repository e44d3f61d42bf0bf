package once

import (
	"fmt"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"
)

// simulation is a set of owner processes with their faults, in true time. The conditions in the
// package comment are simulated as separate steps, so that a freeze, a crash or a replacement can
// come between any two of them.
type simulation struct {
	draw   *rapid.T
	config Config
	now    time.Duration // true time since base
	// log holds the voter set of each revision. accepted is the highest revision that a majority
	// holds.
	log       [][]string
	accepted  int
	newest    map[string]*process // latest acknowledged incarnation by slot
	processes []*process
	tasks     []*task
	messages  []*task // sent, but not yet arrived at a leaf
	ids       []ulid.ULID
	runs      map[ulid.ULID]int
}

type process struct {
	slot               string
	ledger             *Ledger[int]
	revision           int
	awaitingAcceptance bool // suspended until its revision is accepted
	dead, frozen       bool
	confirmedAt        time.Duration
	// Deviations of the wall clock: constant, and by a backward jump.
	clockOffset, backwardJump time.Duration
}

type task struct {
	process  *process
	id       ulid.ULID
	decision Decision[int]
	checked  bool
	// sentBefore is set if the id had run or was in transit when the decision was made.
	sentBefore bool
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

const stepsPerSchedule = 150

// runSchedule runs one schedule and returns the first violation of the guarantee.
func runSchedule(draw *rapid.T, config Config) error {
	s := &simulation{
		draw: draw, config: config, log: [][]string{{"a", "b"}},
		newest: map[string]*process{}, runs: map[ulid.ULID]int{},
	}
	for _, slot := range slots {
		s.replace(slot)
	}
	for range stepsPerSchedule {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) step() error {
	switch s.drawInt("action", 26) {
	case 0, 1, 2, 3, 4:
		s.submit()
	case 5, 6, 7, 8, 9:
		return s.advanceTask()
	case 10, 11, 12:
		return s.deliver()
	case 13, 14:
		s.now += s.drawDuration("wait", time.Millisecond, 300*time.Millisecond, 2*time.Second, 6*time.Second)
	case 15:
		s.now += s.drawDuration("long wait", 11*time.Second, 20*time.Second, 40*time.Second)
		s.confirmAll()
	case 16, 17, 18:
		s.confirmAll()
	case 19:
		s.drawProcess().dead = s.drawInt("really", 2) == 0
	case 20:
		p := s.drawProcess()
		p.frozen = !p.frozen
	case 21:
		s.replace(slots[s.drawInt("slot", len(slots))])
	case 22:
		s.changeVoters()
	case 23:
		s.install(s.drawProcess())
	case 24:
		p := s.drawProcess()
		p.backwardJump = s.drawDuration("jump back", 0, 0, 15*time.Second, 45*time.Second, time.Hour)
	case 25:
		if p := s.drawProcess(); p.isRunning() {
			p.ledger.Expire(s.reading(p))
		}
	}
	return nil
}

func (s *simulation) drawInt(label string, below int) int {
	return rapid.IntRange(0, below-1).Draw(s.draw, label)
}

func (s *simulation) drawDuration(label string, durations ...time.Duration) time.Duration {
	return durations[s.drawInt(label, len(durations))]
}

func (s *simulation) drawProcess() *process {
	return s.processes[s.drawInt("process", len(s.processes))]
}

func (p *process) isRunning() bool { return !p.dead && !p.frozen }

func (s *simulation) reading(p *process) ClockReading {
	return ClockReading{Wall: base.Add(s.now + p.clockOffset - p.backwardJump), Monotonic: s.now}
}

// replace starts a new process in a slot. The previous one may still be alive.
func (s *simulation) replace(slot string) {
	half := int(s.config.ClockDifference.Milliseconds() / 2)
	p := &process{slot: slot, confirmedAt: s.now, revision: s.accepted}
	p.clockOffset = time.Duration(s.drawInt("offset", 2*half+1)-half) * time.Millisecond
	p.ledger = NewLedger[int](s.config, s.reading(p))
	s.newest[slot] = p
	s.processes = append(s.processes, p)
}

// confirmAll confirms every process that a majority may confirm.
func (s *simulation) confirmAll() {
	for _, p := range s.processes {
		if p.isRunning() && s.newest[p.slot] == p && p.revision >= s.accepted {
			p.confirmedAt = s.now
		}
	}
}

// changeVoters proposes a voter set, or lets a majority accept the last one.
func (s *simulation) changeVoters() {
	if last := len(s.log) - 1; s.accepted < last {
		s.accepted = last
		return
	}
	sets := [][]string{{"a", "b"}, {"a", "b", "c"}, {"b", "c"}, {"a", "c"}}
	s.log = append(s.log, sets[s.drawInt("voters", len(sets))])
}

// install installs the newest revision, or starts the ownership period once it is accepted.
func (s *simulation) install(p *process) {
	switch last := len(s.log) - 1; {
	case !p.isRunning():
	case p.revision < last:
		p.ledger.Suspend()
		p.revision = last
		p.awaitingAcceptance = true
	case p.awaitingAcceptance && p.revision <= s.accepted:
		p.ledger.Reset(s.reading(p))
		p.awaitingAcceptance = false
	}
}

// submit sends a new or a known id to a process, which decides immediately.
func (s *simulation) submit() {
	p := s.drawProcess()
	if !p.isRunning() {
		return
	}
	id := s.drawID()
	if Owner(s.log[p.revision], id) != p.slot {
		return
	}
	t := &task{process: p, id: id, sentBefore: s.wasSent(id)}
	t.decision = p.ledger.Begin(s.reading(p), id)
	s.tasks = append(s.tasks, t)
}

func (s *simulation) wasSent(id ulid.ULID) bool {
	isSent := func(t *task) bool { return t.id == id && t.checked }
	return s.runs[id] > 0 || slices.ContainsFunc(s.messages, isSent) || slices.ContainsFunc(s.tasks, isSent)
}

func (s *simulation) drawID() ulid.ULID {
	if len(s.ids) > 0 && s.drawInt("known id", 3) > 0 {
		return s.ids[max(0, len(s.ids)-1-s.drawInt("which", 8))]
	}
	skew := s.drawDuration("skew", 0, 0, 0, 4*time.Second, -4*time.Second, 14*time.Second, 60*time.Second, -20*time.Second)
	var id ulid.ULID
	_ = id.SetTime(uint64(base.Add(s.now + skew).UnixMilli()))
	id[15] = byte(len(s.ids))
	s.ids = append(s.ids, id)
	return id
}

// advanceTask checks whether a decision still holds, and then acts on it.
func (s *simulation) advanceTask() error {
	if len(s.tasks) == 0 {
		return nil
	}
	index := s.drawInt("task", len(s.tasks))
	t := s.tasks[index]
	if t.process.dead {
		s.tasks = slices.Delete(s.tasks, index, index+1)
		return nil
	}
	if t.process.frozen {
		return nil
	}
	if !t.checked && t.decision.Kind == Run {
		if t.checked = s.decisionHolds(t); t.checked {
			return nil
		}
		t.process.ledger.Release(t.id)
	}
	s.tasks = slices.Delete(s.tasks, index, index+1)
	if t.decision.Kind == Run && t.checked {
		s.messages = append(s.messages, t)
	}
	if t.decision.Kind == Refuse && !t.decision.MayHaveRun && s.decisionHolds(t) && t.sentBefore {
		return fmt.Errorf("id %s: refused as %s and not run, but it may have run", t.id, t.decision.Reason)
	}
	if t.decision.Kind == Replay && s.runs[t.id] != t.decision.Outcome {
		return fmt.Errorf("id %s: replayed outcome %d, but it ran %d times", t.id, t.decision.Outcome, s.runs[t.id])
	}
	return nil
}

// decisionHolds reports whether the process is still fresh and still the owner.
func (s *simulation) decisionHolds(t *task) bool {
	return s.now-t.process.confirmedAt <= s.config.Freshness && t.process.ledger.OwnershipHolds(t.decision)
}

// deliver simulates that a message arrives at its leaf, is refused there, or loses its reply.
func (s *simulation) deliver() error {
	if len(s.messages) == 0 {
		return nil
	}
	index := s.drawInt("message", len(s.messages))
	t := s.messages[index]
	s.messages = slices.Delete(s.messages, index, index+1)
	fate := s.drawInt("fate", 4)
	if fate == 0 { // the leaf proves that the request did not run
		if t.process.isRunning() {
			t.process.ledger.Release(t.id)
		}
		return nil
	}
	if s.runs[t.id]++; s.runs[t.id] > 1 {
		return fmt.Errorf("id %s (created at %s) ran twice, the second time by %s", t.id, t.id.Timestamp().Sub(base), t.process.slot)
	}
	if fate > 1 && t.process.isRunning() {
		t.process.ledger.Finish(t.id, 1)
	}
	return nil
}
