package mirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errAway = errors.New("away")

// script is a Source that plays answers in their order, and then ends the run.
type script struct {
	answers []any // error, []Item or []Event
	stop    context.CancelFunc
	asked   []string
}

func (s *script) next(call string) (any, error) {
	s.asked = append(s.asked, call)
	if len(s.answers) == 0 {
		s.stop()
		return nil, context.Canceled
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	if err, failed := answer.(error); failed {
		return nil, err
	}
	return answer, nil
}

func (s *script) Range(_ context.Context, prefix string) ([]Item, uint64, error) {
	answer, err := s.next("range " + prefix)
	if err != nil {
		return nil, 0, err
	}
	return answer.([]Item), 10, nil
}

func (s *script) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]Event, uint64, error) {
	answer, err := s.next(fmt.Sprintf("watch %d", after))
	if err != nil {
		return nil, 0, err
	}
	return answer.([]Event), after + 1, nil
}

// recorder is a Sink that writes down what it receives.
type recorder []string

func (r *recorder) Replace(items []Item, read Reading) {
	text := fmt.Sprintf("replace %d gap=%v", len(items), read.Gap)
	if read.Stale {
		text += " stale"
	}
	*r = append(*r, text)
}
func (r *recorder) Change(events []Event)  { *r = append(*r, fmt.Sprintf("change %d", len(events))) }
func (r *recorder) Lost(error)             { *r = append(*r, "lost") }
func (r *recorder) Regained(time.Duration) { *r = append(*r, "regained") }

func play(answers ...any) (asked, received []string) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	source := &script{answers: answers, stop: stop}
	var sink recorder
	New(Config{Prefix: "p/", MinBackoff: time.Microsecond, MaxBackoff: time.Millisecond}, source, &sink).Run(ctx)
	return source.asked, sink
}

func TestMirror(t *testing.T) {
	items, events, none := []Item{{Key: "p/a"}}, []Event{{}}, []Event{}
	for _, test := range []struct {
		name     string
		answers  []any
		asked    string
		received string
	}{
		{"range, then watch", []any{items, none, events}, "range p/, watch 10, watch 11, watch 12", "replace 1 gap=false, change 1"},
		{"down at the start", []any{errAway, errAway, items}, "range p/, range p/, range p/, watch 10", "lost, regained, replace 1 gap=false"},
		{"outage goes on from the same revision", []any{items, errAway, errAway, events}, "range p/, watch 10, watch 10, watch 10, watch 11", "replace 1 gap=false, lost, regained, change 1"},
		{"the sink hears of the return before any change", []any{items, errAway, none}, "range p/, watch 10, watch 10, watch 11", "replace 1 gap=false, lost, regained, change 0"},
		{"lost history", []any{items, ErrCompacted, items}, "range p/, watch 10, range p/, watch 10", "replace 1 gap=false, replace 1 gap=true"},
		{"lost history after an outage", []any{items, errAway, ErrCompacted, errAway, items}, "range p/, watch 10, watch 10, range p/, range p/, watch 10", "replace 1 gap=false, lost, regained, lost, regained, replace 1 gap=true"},
	} {
		asked, received := play(test.answers...)
		if !slices.Equal(asked, strings.Split(test.asked, ", ")) {
			t.Errorf("%s: asked %v", test.name, asked)
		}
		if !slices.Equal(received, strings.Split(test.received, ", ")) {
			t.Errorf("%s: received %v", test.name, received)
		}
	}
}
