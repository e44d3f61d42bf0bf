package catalog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Encode returns the canonical JSON of a catalog. Equal catalogs have equal encodings.
func Encode(c *Catalog) ([]byte, error) { return json.Marshal(c) }

// Decode parses the output of Encode. It refuses unknown fields and trailing data.
func Decode(data []byte) (*Catalog, error) {
	decoded := new(Catalog)
	if err := decodeStrict(data, decoded); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	return decoded, nil
}

// EncodeChange returns the canonical JSON of a change, which is its stored form in the log.
func EncodeChange(change Change) ([]byte, error) {
	change.At = change.At.UTC().Round(0)
	return json.Marshal(change)
}

// DecodeChange parses the output of EncodeChange. It refuses unknown fields, trailing data and
// invalid changes.
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

// Digest returns a hash of the canonical JSON. Nodes at the same revision have the same digest.
// Digest encodes the whole catalog, which is too expensive for every heartbeat.
func (c *Catalog) Digest() uint64 {
	data, err := Encode(c)
	if err != nil {
		return 0 // unreachable: every field has a JSON form
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
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}
