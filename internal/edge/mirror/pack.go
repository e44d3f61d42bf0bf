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
const maxUnpackedBytes = 48 << 20

// errUnpacked means that more than maxUnpacked was packed.
var errUnpackedTooLarge = errors.New("more than another node takes")

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
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(packed)), N: maxUnpackedBytes}
	var values []T
	if err := gob.NewDecoder(limited).Decode(&values); err != nil {
		if limited.N <= 0 {
			err = errUnpackedTooLarge
		}
		return nil, fmt.Errorf("unpack: %w", err)
	}
	return values, nil
}

// packFrom is the size of changes, in bytes of their values, from which they are
// packed for other nodes: below it, packing costs more than it saves.
const packThreshold = 8 << 10

// sizeOf returns the size of changes in bytes of their values.
func valueBytes(events []Event) int {
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
func (p *packedEvents) pack(after uint64, response Watched) (Watched, error) {
	if valueBytes(response.Events) < packThreshold {
		return response, nil
	}
	if p.packed == nil || p.after != after || p.revision != response.Revision {
		packed, err := pack(response.Events)
		if err != nil {
			return Watched{}, err
		}
		*p = packedEvents{after: after, revision: response.Revision, packed: packed}
	}
	response.Events, response.Packed = nil, p.packed
	return response, nil
}

// unpacked returns an answer with its events.
func (w Watched) unpack() (Watched, error) {
	if w.Packed == nil {
		return w, nil
	}
	events, err := unpack[Event](w.Packed)
	w.Events, w.Packed = events, nil
	return w, err
}
