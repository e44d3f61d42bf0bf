package leafanswer

import (
	"testing"

	"pgregory.net/rapid"
)

func TestAnswerUsable(t *testing.T) {
	for _, test := range []struct {
		answer Answer
		want   Use
	}{
		{Answer{Status: 200, Signed: true}, UseAsAnswer},
		{Answer{Status: 200}, UseNone},
		{Answer{Status: 200, Signed: true, Encoded: true}, UseNone},
		{Answer{Status: 200, Signed: true, Merged: true}, UseAsAnswer},
		{Answer{Status: 302}, UseAsAnswer},
		{Answer{Status: 404, Encoded: true}, UseAsAnswer},
		{Answer{Status: 404, Signed: true, Merged: true}, UseAsRejection},
		{Answer{Status: 500, Signed: true, Merged: true}, UseAsFailure},
		{Answer{Status: 500, Signed: true}, UseAsFailure},
		{Answer{Status: 504, Signed: true}, UseAsFailure},
		{Answer{Status: 20, Signed: true}, UseNone},
	} {
		if got := test.answer.Use(); got != test.want {
			t.Errorf("%+v: got use %v, want %v", test.answer, got, test.want)
		}
	}
}

// Guards against an unsigned or encoded success that is returned, and a failure that is merged.
func TestOnlySoundSuccessReachesCaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := Answer{
			Status: rapid.IntRange(0, 999).Draw(t, "status"), Signed: rapid.Bool().Draw(t, "signed"),
			Encoded: rapid.Bool().Draw(t, "encoded"), Merged: rapid.Bool().Draw(t, "merged"),
		}
		use := answer.Use()
		success := answer.Status < 300
		if success && use != UseNone && !(answer.Signed && !answer.Encoded && answer.Status >= 200) {
			t.Fatalf("%+v: got use %v, want none", answer, use)
		}
		if answer.Merged && !success && use == UseAsAnswer {
			t.Fatalf("%+v: a failure is a part", answer)
		}
	})
}
