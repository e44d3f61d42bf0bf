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

	"github.com/micaplank/micaplank/internal/position"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errStoreDown = errors.New("store is down")

// restoredItems are the items of a restored store, in an era.
type restoredItems uint64

// scriptedSource is a Source that returns scripted responses in order, and then ends the run.
type scriptedSource struct {
	answers []any // error, []Item, restoredItems or []Event
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

func (s *scriptedSource) Range(_ context.Context, prefix string) ([]Item, position.Position, error) {
	answer, err := s.nextAnswer("range " + prefix)
	if err != nil {
		return nil, position.Position{}, err
	}
	if era, ok := answer.(restoredItems); ok {
		return []Item{{Key: "p/a"}}, position.Position{Era: uint64(era), Revision: 7}, nil
	}
	return answer.([]Item), at(10), nil
}

func (s *scriptedSource) Watch(_ context.Context, _ string, after position.Position, _ time.Duration) ([]Event, position.Position, error) {
	answer, err := s.nextAnswer(fmt.Sprintf("watch %v", after))
	if err != nil {
		return nil, after, err
	}
	after.Revision++
	return answer.([]Event), after, nil
}

// recordingSink is a Sink that records the calls that it receives.
type recordingSink []string

func (r *recordingSink) Replace(items []Item, read ReadInfo) {
	text := fmt.Sprintf("replace %d gap=%v", len(items), read.Gap)
	if read.Stale {
		text += " stale"
	}
	if read.Restored {
		text += fmt.Sprintf(" restored from %v to %v", read.From, read.To)
	}
	*r = append(*r, text)
}
func (r *recordingSink) Apply(events []Event) {
	*r = append(*r, fmt.Sprintf("change %d", len(events)))
}
func (r *recordingSink) Disconnected(error)        { *r = append(*r, "lost") }
func (r *recordingSink) Reconnected(time.Duration) { *r = append(*r, "regained") }

func runScript(answers ...any) (calls, received []string) {
	return runScriptWith(time.Hour, answers...)
}

func runScriptWith(settlingTime time.Duration, answers ...any) (calls, received []string) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	source := &scriptedSource{answers: answers, stop: stop}
	var sink recordingSink
	New(Config{Prefix: "p/", MinBackoff: time.Microsecond, MaxBackoff: time.Millisecond, SettlingTime: settlingTime}, source, &sink).Run(ctx)
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
		{"restored store", []any{items, ErrRestored, restoredItems(2), events}, "range p/, watch 10, range p/, watch 2/7, watch 2/8", "replace 1 gap=false, replace 1 gap=true restored from 10 to 2/7, change 1"},
		{"range of an earlier era", []any{restoredItems(2), ErrCompacted, restoredItems(1), restoredItems(2)}, "range p/, watch 2/7, range p/, range p/, watch 2/7", "replace 1 gap=false, lost, regained, replace 1 gap=true"},
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

// TestRestoredStoreIsReadOnceMore guards against keys that stay in use for good because a restored
// store lacked them before their writers had written again.
func TestRestoredStoreIsReadOnceMore(t *testing.T) {
	calls, _ := runScriptWith(0, []Item{}, ErrRestored, restoredItems(2), restoredItems(2), []Event{})
	if got, want := strings.Join(calls, ", "), "range p/, watch 10, range p/, range p/, watch 2/7, watch 2/8"; got != want {
		t.Errorf("got calls %s, want %s", got, want)
	}
}
