package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"github.com/micaplank/micaplank/internal/position"
)

// maxUnpackedBytes bounds the unpacked size of a value that another node packed. It allows a
// hundred thousand items of half a kilobyte.
const maxUnpackedBytes = 48 << 20

// errUnpackedTooLarge means that a packed value exceeds maxUnpackedBytes.
var errUnpackedTooLarge = errors.New("unpacked size exceeds the limit")

// pack encodes items or events with gob and deflate. The values are similar to each other and
// compress well.
func pack[T Item | Event](values []T) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack %T: %w", values, err)
	}
	if err := errors.Join(gob.NewEncoder(writer).Encode(values), writer.Close()); err != nil {
		return nil, fmt.Errorf("pack %T: %w", values, err)
	}
	return packed.Bytes(), nil
}

// unpack decodes the output of pack.
func unpack[T Item | Event](packed []byte) ([]T, error) {
	limited := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(packed)), N: maxUnpackedBytes}
	var values []T
	if err := gob.NewDecoder(limited).Decode(&values); err != nil {
		if limited.N <= 0 {
			err = errUnpackedTooLarge
		}
		return nil, fmt.Errorf("unpack %T: %w", values, err)
	}
	return values, nil
}

// packThreshold is the size of changes, in bytes of their values, from which they are packed for
// other nodes. Below it, packing costs more than it saves.
const packThreshold = 8 << 10

// valueBytes returns the size of changes in bytes of their values.
func valueBytes(events []Event) int {
	size := 0
	for index := range events {
		size += len(events[index].Value)
	}
	return size
}

// packedEvents caches the packed changes between two positions, because followers ask for the same
// changes at the same time.
type packedEvents struct {
	after, reached position.Position
	packed         []byte
}

// pack replaces the events of a response to a request for changes after a position by their packed
// form, unless they are small.
func (p *packedEvents) pack(after position.Position, response WatchResponse) (WatchResponse, error) {
	if valueBytes(response.Events) < packThreshold {
		return response, nil
	}
	if p.packed == nil || p.after != after || p.reached != response.Position() {
		packed, err := pack(response.Events)
		if err != nil {
			return WatchResponse{}, err
		}
		*p = packedEvents{after: after, reached: response.Position(), packed: packed}
	}
	response.Events, response.Packed = nil, p.packed
	return response, nil
}

// unpack returns the response with its events unpacked.
func (w WatchResponse) unpack() (WatchResponse, error) {
	if w.Packed == nil {
		return w, nil
	}
	events, err := unpack[Event](w.Packed)
	w.Events, w.Packed = events, nil
	return w, err
}
