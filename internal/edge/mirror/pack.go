package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
)

// maxUnpacked bounds what is packed for another node, once it is unpacked: a
// hundred thousand items of half a kilobyte.
const maxUnpacked = 48 << 20

// errUnpacked means that more than maxUnpacked was packed.
var errUnpacked = errors.New("more than another node takes")

// pack writes items or events in a compact form. Their values are much alike, and
// shrink to a fraction.
func pack[T Item | Event](values []T) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := errors.Join(gob.NewEncoder(writer).Encode(values), writer.Close()); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack reads what pack wrote.
func unpack[T Item | Event](packed []byte) ([]T, error) {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(packed)), N: maxUnpacked}
	var values []T
	if err := gob.NewDecoder(limited).Decode(&values); err != nil {
		if limited.N <= 0 {
			err = errUnpacked
		}
		return nil, fmt.Errorf("unpack: %w", err)
	}
	return values, nil
}

// packFrom is the size of changes, in bytes of their values, from which they are
// packed for other nodes: below it, packing costs more than it saves.
const packFrom = 8 << 10

// sizeOf returns the size of changes in bytes of their values.
func sizeOf(events []Event) int {
	size := 0
	for index := range events {
		size += len(events[index].Value)
	}
	return size
}

// packedEvents are the changes between two revisions, packed. Followers ask for
// the same ones, all at once.
type packedEvents struct {
	after, revision uint64
	packed          []byte
}

// of packs the events of an answer to a question for what came after a revision,
// unless they are few.
func (p *packedEvents) of(after uint64, answer Watched) (Watched, error) {
	if sizeOf(answer.Events) < packFrom {
		return answer, nil
	}
	if p.packed == nil || p.after != after || p.revision != answer.Revision {
		packed, err := pack(answer.Events)
		if err != nil {
			return Watched{}, err
		}
		*p = packedEvents{after: after, revision: answer.Revision, packed: packed}
	}
	answer.Events, answer.Packed = nil, p.packed
	return answer, nil
}

// unpacked returns an answer with its events.
func (w Watched) unpacked() (Watched, error) {
	if w.Packed == nil {
		return w, nil
	}
	events, err := unpack[Event](w.Packed)
	w.Events, w.Packed = events, nil
	return w, err
}
