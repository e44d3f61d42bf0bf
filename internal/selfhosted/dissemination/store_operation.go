package dissemination

import "github.com/micaplank/micaplank/internal/catalog"

// StoreOperation is one call to the store. Apart from ID, exactly one field is set. The driver
// limits its duration and reports its outcome by calling StepStore with the same ID.
type StoreOperation struct {
	ID uint64
	// Read requests at most Limit changes in order, starting with revision From.
	Read *StoreRead
	// Create writes a change under the key of its revision if the key does not exist.
	Create *catalog.Change
	// LoadCheckpoint requests the newest complete checkpoint.
	LoadCheckpoint bool
	// SaveCheckpoint writes a checkpoint unless it exists. After the checkpoint has been read back
	// completely, the changes and checkpoints before Keep are deleted.
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
	// Keep is the first revision that remains in the store; 0 deletes nothing.
	Keep uint64
}

// StoreResult is the outcome of a StoreOperation.
type StoreResult struct {
	ID uint64
	// Err is set if the operation failed. MaybeApplied then reports that a write may nevertheless
	// have taken effect.
	Err          error
	MaybeApplied bool
	// Changes and More are the result of a read. More reports that the limit cut the result short.
	Changes []catalog.Change
	More    bool
	// Created is the result of a create. Existing is the change that already had the revision.
	Created  bool
	Existing *catalog.Change
	// Checkpoint is the result of a load; nil if no checkpoint exists.
	Checkpoint *catalog.Catalog
}

// pendingOperation is a store operation without a result.
type pendingOperation struct {
	sentAt       Time
	kind         operationKind
	heldRevision uint64 // revision of the log when a read was sent
	proposal     ProposalID
}

type operationKind byte

const (
	operationRead operationKind = iota
	operationCreate
	operationLoad
	operationSave
)

// startOperation assigns an ID to an operation and adds it to Ready.
func (c *Core) startOperation(pending pendingOperation, operation StoreOperation) {
	c.store.lastOperationID++
	operation.ID = c.store.lastOperationID
	c.store.operations[operation.ID] = pending
	c.ready.StoreOperations = append(c.ready.StoreOperations, operation)
}
