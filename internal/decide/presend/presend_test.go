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
		{State{LeafUsable: true, UntilLastSend: time.Nanosecond}, Send},
		{State{GuardErr: notFresh, LeafUsable: true, UntilLastSend: time.Second}, NodeNotFresh},
		{State{UntilLastSend: time.Second}, LeafNotUsable},
		{State{LeafUsable: true, Unwanted: true, UntilLastSend: time.Second}, NotWanted},
		{State{LeafUsable: true}, TooLate},
		{State{LeafUsable: true, UntilLastSend: -time.Second}, TooLate},
		{State{GuardErr: notFresh}, NodeNotFresh},
		{State{Unwanted: true}, LeafNotUsable},
		{State{LeafUsable: true, Unwanted: true}, NotWanted},
		{State{}, LeafNotUsable},
	} {
		if got := Decide(test.state); got != test.want {
			t.Errorf("%+v: got verdict %d, want %d", test.state, got, test.want)
		}
	}
}
