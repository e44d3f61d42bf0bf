package readbody

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

func TestAllReturnsEveryByte(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 100_000} {
		want := bytes.Repeat([]byte("b"), size)
		for _, announced := range []int64{-1, 0, int64(size) / 2, int64(size), int64(size) + 9} {
			got, err := All(iotest.HalfReader(bytes.NewReader(want)), announced)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, announced %d: got %d bytes, error %v", size, announced, len(got), err)
			}
		}
	}
}

// TestAnnouncedLengthTakesNoMemory guards against a sender that announces a large body and sends none.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	got, err := All(bytes.NewReader([]byte("b")), 1<<40)
	if err != nil || cap(got) > firstBuffer {
		t.Errorf("got a buffer of %d bytes, error %v, want at most %d", cap(got), err, firstBuffer)
	}
}

func TestAllReturnsTheErrorOfItsSource(t *testing.T) {
	if _, err := All(iotest.ErrReader(io.ErrUnexpectedEOF), 5); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want %v", err, io.ErrUnexpectedEOF)
	}
}
