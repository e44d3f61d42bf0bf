package leafanswer

import "testing"

func TestAnswerUsable(t *testing.T) {
	for _, test := range []struct {
		answer Answer
		want   bool
	}{
		{Answer{Status: 200, Signed: true}, true},
		{Answer{Status: 200}, false},
		{Answer{Status: 200, Signed: true, Encoded: true}, false},
		{Answer{Status: 302}, true},
		{Answer{Status: 404, Encoded: true}, true},
		{Answer{Status: 500, Signed: true}, false},
		{Answer{Status: 504, Signed: true}, false},
	} {
		if got := test.answer.Usable(); got != test.want {
			t.Errorf("%+v: usable = %v, want %v", test.answer, got, test.want)
		}
	}
}
