package presend

import (
	"errors"
	"testing"
	"time"
)

func TestPresendVerdicts(t *testing.T) {
	notFresh := errors.New("not fresh")
	for _, test := range []struct {
		state State
		want  Verdict
	}{
		{State{Usable: true, Remaining: time.Nanosecond}, Send},
		{State{Guard: notFresh, Usable: true, Remaining: time.Second}, NotFresh},
		{State{Remaining: time.Second}, NotUsable},
		{State{Usable: true}, Expired},
		{State{Usable: true, Remaining: -time.Second}, Expired},
		{State{Guard: notFresh}, NotFresh},
		{State{}, NotUsable},
	} {
		if got := Decide(test.state); got != test.want {
			t.Errorf("%+v: got verdict %d, want %d", test.state, got, test.want)
		}
	}
}
