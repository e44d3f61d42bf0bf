package dissemination

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

const (
	// storeTimeout limits a store operation that reads or writes changes. It exceeds the timeout of
	// one call of the store client.
	storeTimeout = 3 * time.Second
	// checkpointTimeout limits a checkpoint operation, which consists of several calls.
	checkpointTimeout = 20 * time.Second
	// watchRetryInterval is the time after which an ended watch is opened again. It equals the
	// default interval at which a watcher reads the store.
	watchRetryInterval = time.Second
)

// startCalls starts the calls that a step requested. The caller holds the mutex.
func (s *Service) startCalls(ready Ready) {
	for _, operation := range ready.StoreOperations {
		s.workers.Add(1)
		go s.runOperation(operation)
	}
	if ready.Fetch != nil {
		s.workers.Add(1)
		go s.fetch(*ready.Fetch)
	}
	switch {
	case ready.Watch && s.cancelWatch == nil:
		ctx, cancel := context.WithCancel(s.lifetime)
		s.cancelWatch = cancel
		s.workers.Add(1)
		go s.watch(ctx)
	case !ready.Watch && s.cancelWatch != nil:
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

// fetch calls a peer and reports the response to the core.
func (s *Service) fetch(fetch Fetch) {
	defer s.workers.Done()
	ctx, cancel := context.WithTimeout(s.lifetime, s.options.Config.FetchTimeout)
	defer cancel()
	reply, err := s.options.Transport.Fetch(ctx, fetch.To, &FetchCall{Revision: fetch.Request.Revision})
	var response *FetchResponse
	if err == nil {
		response, err = decodeFetchReply(reply)
	}
	s.metrics.fetches.WithLabelValues(resultLabel(err)).Inc()
	if err != nil {
		response = nil
	}
	s.runStep(func(now Time) { s.core.StepFetched(now, response) })
}

// runOperation performs a store operation and reports its result to the core.
func (s *Service) runOperation(operation StoreOperation) {
	defer s.workers.Done()
	timeout := storeTimeout
	if operation.LoadCheckpoint || operation.SaveCheckpoint != nil {
		timeout = checkpointTimeout
	}
	ctx, cancel := context.WithTimeout(s.lifetime, timeout)
	defer cancel()
	kind, result := s.callStore(ctx, operation)
	result.ID = operation.ID
	s.metrics.store.WithLabelValues(kind, resultLabel(result.Err)).Inc()
	s.runStep(func(now Time) { s.core.StepStore(now, result) })
}

func (s *Service) callStore(ctx context.Context, operation StoreOperation) (kind string, result StoreResult) {
	store := s.options.Store
	switch {
	case operation.Read != nil:
		kind = "read"
		result.Changes, result.More, result.Err = store.ReadChanges(ctx, operation.Read.From, operation.Read.Limit)
	case operation.Create != nil:
		kind = "create"
		result.Created, result.Existing, result.Err = store.CreateChange(ctx, *operation.Create)
		result.MaybeApplied = result.Err != nil && store.MaybeApplied(result.Err)
	case operation.LoadCheckpoint:
		kind = "load_checkpoint"
		result.Checkpoint, result.Err = store.LoadCheckpoint(ctx)
	case operation.SaveCheckpoint != nil:
		kind = "save_checkpoint"
		result.Err = store.SaveCheckpoint(ctx, operation.SaveCheckpoint.Catalog, operation.SaveCheckpoint.Keep)
	}
	return kind, result
}

// watch keeps a watch of the store open until ctx ends.
func (s *Service) watch(ctx context.Context) {
	defer s.workers.Done()
	for ctx.Err() == nil {
		err := s.options.Store.WatchChanges(ctx, func(changes []catalog.Change) {
			s.runStep(func(now Time) { s.core.StepWatched(now, changes) })
		})
		s.metrics.store.WithLabelValues("watch", resultLabel(err)).Inc()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
}

// resultLabel returns the value of the label result for a call.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
