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

var errStoreDown = errors.New("store is down")

// scriptedSource is a Source that returns scripted responses in order, and then ends the run.
type scriptedSource struct {
	answers []any // error, []Item or []Event
	stop    context.CancelFunc
	calls   []string
}

func (s *scriptedSource) nextAnswer(call string) (any, error) {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.stop()
		return nil, context.Canceled
	}
	answer := s.answers[0]
	s.answers = s.answers[1:]
	if err, ok := answer.(error); ok {
		return nil, err
	}
	return answer, nil
}

func (s *scriptedSource) Range(_ context.Context, prefix string) ([]Item, uint64, error) {
	answer, err := s.nextAnswer("range " + prefix)
	if err != nil {
		return nil, 0, err
	}
	return answer.([]Item), 10, nil
}

func (s *scriptedSource) Watch(_ context.Context, _ string, after uint64, _ time.Duration) ([]Event, uint64, error) {
	answer, err := s.nextAnswer(fmt.Sprintf("watch %d", after))
	if err != nil {
		return nil, 0, err
	}
	return answer.([]Event), after + 1, nil
}

// recordingSink is a Sink that records the calls that it receives.
type recordingSink []string

func (r *recordingSink) Replace(items []Item, read ReadInfo) {
	text := fmt.Sprintf("replace %d gap=%v", len(items), read.Gap)
	if read.Stale {
		text += " stale"
	}
	*r = append(*r, text)
}
func (r *recordingSink) Apply(events []Event) {
	*r = append(*r, fmt.Sprintf("change %d", len(events)))
}
func (r *recordingSink) Disconnected(error)        { *r = append(*r, "lost") }
func (r *recordingSink) Reconnected(time.Duration) { *r = append(*r, "regained") }

func runScript(answers ...any) (calls, received []string) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	source := &scriptedSource{answers: answers, stop: stop}
	var sink recordingSink
	New(Config{Prefix: "p/", MinBackoff: time.Microsecond, MaxBackoff: time.Millisecond}, source, &sink).Run(ctx)
	return source.calls, sink
}

func TestMirrorCallsAndNotifications(t *testing.T) {
	items, events, noEvents := []Item{{Key: "p/a"}}, []Event{{}}, []Event{}
	for _, test := range []struct {
		name         string
		answers      []any
		wantCalls    string
		wantReceived string
	}{
		{"range, then watch", []any{items, noEvents, events}, "range p/, watch 10, watch 11, watch 12", "replace 1 gap=false, change 1"},
		{"store is down at the start", []any{errStoreDown, errStoreDown, items}, "range p/, range p/, range p/, watch 10", "lost, regained, replace 1 gap=false"},
		{"watch resumes from the same revision after an outage", []any{items, errStoreDown, errStoreDown, events}, "range p/, watch 10, watch 10, watch 10, watch 11", "replace 1 gap=false, lost, regained, change 1"},
		{"reconnection is reported before any change", []any{items, errStoreDown, noEvents}, "range p/, watch 10, watch 10, watch 11", "replace 1 gap=false, lost, regained, change 0"},
		{"compacted history", []any{items, ErrCompacted, items}, "range p/, watch 10, range p/, watch 10", "replace 1 gap=false, replace 1 gap=true"},
		{"compacted history after an outage", []any{items, errStoreDown, ErrCompacted, errStoreDown, items}, "range p/, watch 10, watch 10, range p/, range p/, watch 10", "replace 1 gap=false, lost, regained, lost, regained, replace 1 gap=true"},
	} {
		calls, received := runScript(test.answers...)
		if !slices.Equal(calls, strings.Split(test.wantCalls, ", ")) {
			t.Errorf("%s: calls %v, want %s", test.name, calls, test.wantCalls)
		}
		if !slices.Equal(received, strings.Split(test.wantReceived, ", ")) {
			t.Errorf("%s: received %v, want %s", test.name, received, test.wantReceived)
		}
	}
}
