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
		{State{LeafUsable: true, Remaining: time.Nanosecond}, Send},
		{State{GuardErr: notFresh, LeafUsable: true, Remaining: time.Second}, NodeNotFresh},
		{State{Remaining: time.Second}, LeafNotUsable},
		{State{LeafUsable: true}, DeadlinePassed},
		{State{LeafUsable: true, Remaining: -time.Second}, DeadlinePassed},
		{State{GuardErr: notFresh}, NodeNotFresh},
		{State{}, LeafNotUsable},
	} {
		if got := Decide(test.state); got != test.want {
			t.Errorf("%+v: got verdict %d, want %d", test.state, got, test.want)
		}
	}
}
