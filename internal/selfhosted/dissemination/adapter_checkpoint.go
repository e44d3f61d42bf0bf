package dissemination

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/store"
)

// chunkSize is the maximum data size of one chunk. Stores usually limit a request to about 1.5 MB.
const chunkSize = 512 << 10

// chunk is one part of a checkpoint. Each chunk carries the hash of the complete checkpoint, so
// that chunks from writers with different encodings are not combined.
type chunk struct {
	Count int    `json:"count"`
	Hash  uint64 `json:"hash"`
	Data  []byte `json:"data"`
}

func checkpointPrefix(revision uint64) string {
	return fmt.Sprintf("%s%016d/", checkpointsPrefix, revision)
}

func chunkKey(revision uint64, index int) string {
	return fmt.Sprintf("%s%04d", checkpointPrefix(revision), index)
}

// LoadCheckpoint implements Store.
func (a *StoreAdapter) LoadCheckpoint(ctx context.Context) (*catalog.Catalog, error) {
	response, err := a.client.Range(ctx, checkpointsPrefix, store.PrefixEnd(checkpointsPrefix), 0)
	if err != nil {
		return nil, err
	}
	entries := response.Entries
	for len(entries) > 0 {
		first := len(entries) - 1
		prefix := chunkKeyPrefix(entries[first].Key)
		for first > 0 && chunkKeyPrefix(entries[first-1].Key) == prefix {
			first--
		}
		if loaded, err := assembleCheckpoint(entries[first:]); err == nil {
			return loaded, nil
		}
		entries = entries[:first] // fall back to the next older checkpoint
	}
	return nil, nil
}

// chunkKeyPrefix returns the part of a chunk's key that all chunks of its checkpoint share.
func chunkKeyPrefix(key string) string { return key[:strings.LastIndexByte(key, '/')+1] }

// assembleCheckpoint joins the chunks of one checkpoint and verifies the result.
func assembleCheckpoint(entries []store.Entry) (*catalog.Catalog, error) {
	var data []byte
	var hash uint64
	for index, entry := range entries {
		var part chunk
		if err := json.Unmarshal(entry.Value, &part); err != nil {
			return nil, err
		}
		if part.Count != len(entries) || (index > 0 && part.Hash != hash) {
			return nil, fmt.Errorf("assemble checkpoint %s: chunk count or hash does not match the other chunks", entry.Key)
		}
		hash = part.Hash
		data = append(data, part.Data...)
	}
	if xxhash.Sum64(data) != hash {
		return nil, fmt.Errorf("assemble checkpoint %s: hash does not match the data", entries[0].Key)
	}
	loaded, err := catalog.Decode(data)
	if err == nil && checkpointPrefix(loaded.Revision) != chunkKeyPrefix(entries[0].Key) {
		err = fmt.Errorf("assemble checkpoint %s: data has revision %d", entries[0].Key, loaded.Revision)
	}
	return loaded, err
}

// SaveCheckpoint implements Store. Concurrent writers write identical bytes, and each chunk is
// created only if it does not exist.
func (a *StoreAdapter) SaveCheckpoint(ctx context.Context, checkpoint *catalog.Catalog, keep uint64) error {
	prefix := checkpointPrefix(checkpoint.Revision)
	if _, err := a.readCheckpoint(ctx, prefix); err == nil {
		return nil // another watcher wrote the checkpoint and deletes older changes
	}
	data, err := catalog.Encode(checkpoint)
	if err != nil {
		return err
	}
	count := (len(data) + chunkSize - 1) / chunkSize
	for index := range count {
		part := chunk{Count: count, Hash: xxhash.Sum64(data), Data: data[index*chunkSize : min(len(data), (index+1)*chunkSize)]}
		value, err := json.Marshal(part)
		if err != nil {
			return err
		}
		if _, err := a.client.CreateIfAbsent(ctx, chunkKey(checkpoint.Revision, index), value); err != nil {
			return err
		}
	}
	if _, err := a.readCheckpoint(ctx, prefix); err != nil {
		return err
	}
	return a.deleteBefore(ctx, keep)
}

func (a *StoreAdapter) readCheckpoint(ctx context.Context, prefix string) (*catalog.Catalog, error) {
	response, err := a.client.Range(ctx, prefix, store.PrefixEnd(prefix), 0)
	if err != nil {
		return nil, err
	}
	if len(response.Entries) == 0 {
		return nil, oops.In("dissemination").With("step", "checkpoint").Errorf("read checkpoint %s: no chunks found", prefix)
	}
	return assembleCheckpoint(response.Entries)
}

// deleteBefore deletes the changes and checkpoints of revisions lower than keep; zero deletes
// nothing.
func (a *StoreAdapter) deleteBefore(ctx context.Context, keep uint64) error {
	if keep == 0 {
		return nil
	}
	if _, err := a.client.DeleteRange(ctx, changeKey(0), changeKey(keep)); err != nil {
		return err
	}
	_, err := a.client.DeleteRange(ctx, checkpointPrefix(0), checkpointPrefix(keep))
	return err
}
