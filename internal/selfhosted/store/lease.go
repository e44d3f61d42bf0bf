package store

import (
	"context"
	"errors"
	"time"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// LeaseID names a lease. Zero means none.
type LeaseID int64

// Lease is a lease as granted or renewed.
type Lease struct {
	ID LeaseID
	// TimeToLive is counted by the store from when it handled the call, which
	// is after the call was sent. A holder that counts from before it sent the
	// call is on the safe side.
	TimeToLive time.Duration
}

var errLeaseGone = errors.New("the lease does not exist any more")

// Grant asks for a lease that lives for timeToLive, rounded up to seconds.
func (c *Client) Grant(ctx context.Context, timeToLive time.Duration) (Lease, error) {
	seconds := (timeToLive + time.Second - 1) / time.Second
	request := wire.LeaseGrantRequest{TTL: wire.Integer(seconds)}
	var response wire.LeaseGrantResponse
	if err := c.call(ctx, StepGrant, wire.LeaseGrantPath, request, &response); err != nil {
		return Lease{}, err
	}
	return leaseOf(response.ID, response.TTL), nil
}

// KeepAlive renews a lease once. The kind of the error is KindLeaseNotFound if
// the lease has lapsed.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) (Lease, error) {
	request := wire.LeaseKeepAliveRequest{ID: wire.Integer(id)}
	var message wire.StreamMessage[wire.LeaseKeepAliveResponse]
	if err := c.call(ctx, StepKeepAlive, wire.LeaseKeepAlivePath, request, &message); err != nil {
		return Lease{}, err
	}
	if message.Error != nil {
		kind, maybeApplied := classify(message.Error.GRPCCode, message.Error.Message)
		return Lease{}, annotate(&Error{
			Step: StepKeepAlive, Kind: kind, MaybeApplied: maybeApplied, Cause: errors.New(message.Error.Message),
		})
	}
	if message.Result == nil || message.Result.TTL <= 0 {
		return Lease{}, annotate(&Error{Step: StepKeepAlive, Kind: KindLeaseNotFound, Cause: errLeaseGone})
	}
	return leaseOf(message.Result.ID, message.Result.TTL), nil
}

// Revoke ends a lease; the keys attached to it are deleted.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	request := wire.LeaseRevokeRequest{ID: wire.Integer(id)}
	var response wire.LeaseRevokeResponse
	return c.call(ctx, StepRevoke, wire.LeaseRevokePath, request, &response)
}

func leaseOf(id, seconds wire.Integer) Lease {
	return Lease{ID: LeaseID(id), TimeToLive: time.Duration(seconds) * time.Second}
}
