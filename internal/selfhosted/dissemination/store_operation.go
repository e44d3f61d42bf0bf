package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// StoreOperation is one call to the store: exactly one of the pointers and
// flags besides ID is set. The driver bounds its time and reports its end by
// StepStore with the same ID.
type StoreOperation struct {
	ID uint64
	// Read asks for the changes from a revision on, in order, at most Limit.
	Read *StoreRead
	// Create writes a change under the key of its revision, if that key does
	// not exist.
	Create *catalog.Change
	// LoadCheckpoint asks for the newest whole checkpoint.
	LoadCheckpoint bool
	// SaveCheckpoint writes a checkpoint unless it is there, and deletes what
	// lies before Keep once the checkpoint has been read back whole.
	SaveCheckpoint *SaveCheckpoint
}

// StoreRead is a linearizable read of the log.
type StoreRead struct {
	From  uint64
	Limit int
}

// SaveCheckpoint is a checkpoint to be written.
type SaveCheckpoint struct {
	Catalog *catalog.Catalog
	// Keep is the first revision to be left in the store; 0 deletes nothing.
	Keep uint64
}

// StoreResult is the end of a StoreOperation.
type StoreResult struct {
	ID uint64
	// Err is set if the operation failed; MaybeApplied then says that a write
	// may have taken effect all the same.
	Err          error
	MaybeApplied bool
	// Changes and More are the result of a read; More says that it was cut
	// short by its limit.
	Changes []catalog.Change
	More    bool
	// Created is the result of a create; Existing is the change that was there.
	Created  bool
	Existing *catalog.Change
	// Checkpoint is the result of a load, nil if there is none.
	Checkpoint *catalog.Catalog
}

type pendingOperation struct {
	sentAt       Time
	kind         operationKind
	heldRevision uint64 // revision held when a read was sent
	proposal     ProposalID
}

type operationKind byte

const (
	operationRead operationKind = iota
	operationCreate
	operationLoad
	operationSave
)

func (c *Core) startOperation(pending pendingOperation, operation StoreOperation) {
	c.store.lastOperationID++
	operation.ID = c.store.lastOperationID
	c.store.operations[operation.ID] = pending
	c.ready.StoreOperations = append(c.ready.StoreOperations, operation)
}
