package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Encode returns the canonical JSON of a catalog: equal catalogs give equal
// bytes.
func Encode(c *Catalog) ([]byte, error) { return json.Marshal(c) }

// Decode reads what Encode wrote. It refuses unknown members and trailing
// data.
func Decode(data []byte) (*Catalog, error) {
	decoded := new(Catalog)
	if err := decodeStrict(data, decoded); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	return decoded, nil
}

// EncodeChange returns the canonical JSON of a change, as the log stores it.
func EncodeChange(change Change) ([]byte, error) {
	change.At = change.At.UTC().Round(0)
	return json.Marshal(change)
}

// DecodeChange reads what EncodeChange wrote. It refuses unknown members,
// trailing data and an invalid change.
func DecodeChange(data []byte) (Change, error) {
	var change Change
	if err := decodeStrict(data, &change); err != nil {
		return Change{}, fmt.Errorf("decode change: %w", err)
	}
	if err := change.Validate(); err != nil {
		return Change{}, fmt.Errorf("decode change: %w", err)
	}
	return change, nil
}

// Digest returns a hash of the canonical JSON. Nodes that hold the same
// revision have the same digest. It encodes the whole catalog, so it is not
// for every heartbeat.
func (c *Catalog) Digest() uint64 {
	data, err := Encode(c)
	if err != nil {
		return 0 // cannot happen: every field has a JSON form
	}
	return xxhash.Sum64(data)
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the end")
	}
	return nil
}
