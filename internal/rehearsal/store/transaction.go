package store

import (
	"cmp"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// transact executes a transaction atomically. All its writes get the same revision. A transaction
// that returns an error does not change the database.
func (d *database) transact(request *wire.TxnRequest) (*wire.TxnResponse, error) {
	succeeded := true
	for _, compare := range request.Compare {
		matches, err := d.evaluateCompare(compare)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && (matches || d.ignoreCompares)
	}
	operations := request.Failure
	if succeeded {
		operations = request.Success
	}
	if err := d.validateOperations(operations); err != nil {
		return nil, err
	}
	response := &wire.TxnResponse{Succeeded: succeeded}
	revision := d.revision + 1
	for _, operation := range operations {
		result, err := d.applyOperation(operation, revision)
		if err != nil {
			return nil, err
		}
		response.Responses = append(response.Responses, result)
	}
	response.Header = d.header()
	return response, nil
}

// validateOperations returns the first error that applyOperation would return, before anything is
// written.
func (d *database) validateOperations(operations []wire.RequestOp) error {
	for _, operation := range operations {
		switch {
		case operation.Range != nil:
			if _, err := d.readRange(operation.Range); err != nil {
				return err
			}
		case operation.Put != nil:
			if len(operation.Put.Key) == 0 {
				return errEmptyKey
			}
		case operation.DeleteRange == nil || len(operation.DeleteRange.Key) == 0:
			return errEmptyKey
		}
	}
	return nil
}

// applyOperation executes one operation of a transaction at the revision.
func (d *database) applyOperation(operation wire.RequestOp, revision int64) (wire.ResponseOp, error) {
	switch {
	case operation.Range != nil:
		response, err := d.readRange(operation.Range)
		return wire.ResponseOp{Range: response}, err
	case operation.Put != nil:
		err := d.put(operation.Put, revision)
		return wire.ResponseOp{Put: &wire.PutResponse{Header: d.header()}}, err
	default:
		keys := d.matchingKeys(operation.DeleteRange.Key, operation.DeleteRange.RangeEnd)
		d.deleteKeys(keys, revision)
		return wire.ResponseOp{DeleteRange: &wire.DeleteRangeResponse{
			Header: d.header(), Deleted: wire.Integer(len(keys)),
		}}, nil
	}
}

// evaluateCompare reports whether a compare of a transaction holds. A key that does not exist has
// zero as its revisions and version.
func (d *database) evaluateCompare(compare wire.Compare) (bool, error) {
	entry := d.entries[string(compare.Key)]
	var actual, expected wire.Integer
	switch compare.Target {
	case wire.TargetMod:
		actual, expected = entry.ModRevision, integerOrZero(compare.ModRevision)
	case wire.TargetCreate:
		actual, expected = entry.CreateRevision, integerOrZero(compare.CreateRevision)
	case wire.TargetVersion, "":
		actual, expected = entry.Version, integerOrZero(compare.Version)
	default:
		return false, errInvalidCompare
	}
	order := cmp.Compare(actual, expected)
	switch compare.Result {
	case wire.ResultEqual, "":
		return order == 0, nil
	case wire.ResultNotEqual:
		return order != 0, nil
	case wire.ResultGreater:
		return order > 0, nil
	case wire.ResultLess:
		return order < 0, nil
	default:
		return false, errInvalidCompare
	}
}

func integerOrZero(integer *wire.Integer) wire.Integer {
	if integer == nil {
		return 0
	}
	return *integer
}
