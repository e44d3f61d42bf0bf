package store

import (
	"context"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// Entry is a key with its value and revisions.
type Entry struct {
	Key   string
	Value []byte
	// CreateRevision and ModRevision are the revisions of the store at which the key was created
	// and last modified.
	CreateRevision int64
	ModRevision    int64
	// Version is the number of writes since the key was created.
	Version int64
}

// RangeResult is the result of Client.Range.
type RangeResult struct {
	// Entries is in order of the keys.
	Entries []Entry
	// More is set if the limit truncated the range.
	More bool
	// Count is the number of keys in the range, regardless of the limit.
	Count int64
	// StoreRevision is the revision of the store at the read. A watch from StoreRevision+1 reports
	// every later change.
	StoreRevision int64
}

// CreateResult is the result of Client.CreateIfAbsent.
type CreateResult struct {
	Created bool
	// Existing is the entry that prevented the creation, if Created is false.
	Existing Entry
	// StoreRevision is the revision of the store after the call. If Created is true, it is the
	// revision of the new key.
	StoreRevision int64
}

// SwapResult is the result of Client.CompareAndSwap.
type SwapResult struct {
	Swapped bool
	// Existing is the current entry if Swapped is false. Its ModRevision is zero if the key does
	// not exist.
	Existing      Entry
	StoreRevision int64
}

// Range reads the keys from key up to, but not including, end, and returns at most limit of them (0
// means all). If end is empty, it reads only key. The read is linearizable.
func (c *Client) Range(ctx context.Context, key, end string, limit int64) (RangeResult, error) {
	request := wire.RangeRequest{Key: []byte(key), RangeEnd: []byte(end), Limit: wire.Integer(limit)}
	var response wire.RangeResponse
	if err := c.call(ctx, StepRange, wire.RangePath, request, &response); err != nil {
		return RangeResult{}, err
	}
	result := RangeResult{
		More:          response.More,
		Count:         int64(response.Count),
		StoreRevision: headerRevision(response.Header),
	}
	for _, keyValue := range response.KeyValues {
		result.Entries = append(result.Entries, newEntry(keyValue))
	}
	return result, nil
}

// CreateIfAbsent writes the key if it does not exist. Otherwise it returns the existing entry.
func (c *Client) CreateIfAbsent(ctx context.Context, key string, value []byte) (CreateResult, error) {
	result, err := c.CompareAndSwap(ctx, key, 0, value)
	return CreateResult{Created: result.Swapped, Existing: result.Existing, StoreRevision: result.StoreRevision}, err
}

// CompareAndSwap writes the key if its mod revision equals modRevision, where 0 means that the key
// does not exist. Otherwise it returns the current entry.
func (c *Client) CompareAndSwap(ctx context.Context, key string, modRevision int64, value []byte) (SwapResult, error) {
	put := &wire.PutRequest{Key: []byte(key), Value: value}
	revision := wire.Integer(modRevision)
	request := wire.TxnRequest{
		Compare: []wire.Compare{{
			Result: wire.ResultEqual, Target: wire.TargetMod, Key: []byte(key), ModRevision: &revision,
		}},
		Success: []wire.RequestOp{{Put: put}},
		Failure: []wire.RequestOp{{Range: &wire.RangeRequest{Key: []byte(key)}}},
	}
	var response wire.TxnResponse
	if err := c.call(ctx, StepTxn, wire.TxnPath, request, &response); err != nil {
		return SwapResult{}, err
	}
	result := SwapResult{Swapped: response.Succeeded, StoreRevision: headerRevision(response.Header)}
	if !response.Succeeded {
		result.Existing = firstEntry(response.Responses, key)
	}
	return result, nil
}

// DeleteRange deletes the keys from key up to, but not including, end (only key if end is empty)
// and returns the number of deleted keys.
func (c *Client) DeleteRange(ctx context.Context, key, end string) (deleted int64, err error) {
	request := wire.DeleteRangeRequest{Key: []byte(key), RangeEnd: []byte(end)}
	var response wire.DeleteRangeResponse
	err = c.call(ctx, StepDeleteRange, wire.DeleteRangePath, request, &response)
	return int64(response.Deleted), err
}

// PrefixEnd returns the end of the range that contains all keys with the given prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for last := len(end) - 1; last >= 0; last-- {
		if end[last] < 0xff {
			end[last]++
			return string(end[:last+1])
		}
	}
	return "\x00"
}

// firstEntry returns the entry that the first response of a transaction contains, or an entry with
// only the key.
func firstEntry(responses []wire.ResponseOp, key string) Entry {
	if len(responses) == 0 || responses[0].Range == nil || len(responses[0].Range.KeyValues) == 0 {
		return Entry{Key: key}
	}
	return newEntry(responses[0].Range.KeyValues[0])
}

func newEntry(keyValue wire.KeyValue) Entry {
	return Entry{
		Key:            string(keyValue.Key),
		Value:          keyValue.Value,
		CreateRevision: int64(keyValue.CreateRevision),
		ModRevision:    int64(keyValue.ModRevision),
		Version:        int64(keyValue.Version),
	}
}

func headerRevision(header *wire.ResponseHeader) int64 {
	if header == nil {
		return 0
	}
	return int64(header.Revision)
}
