package store

import (
	"cmp"

	"github.com/micaplank/micaplank/internal/selfhosted/store/wire"
)

// transact runs a transaction as one step. All its writes get one revision.
// A transaction that fails on the way leaves the database as it was.
func (d *database) transact(request *wire.TxnRequest) (*wire.TxnResponse, error) {
	succeeded := true
	for _, compare := range request.Compare {
		holds, err := d.holds(compare)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && (holds || d.ignoreCompares)
	}
	operations := request.Failure
	if succeeded {
		operations = request.Success
	}
	if err := d.checkOperations(operations); err != nil {
		return nil, err
	}
	response := &wire.TxnResponse{Succeeded: succeeded}
	next := d.revision + 1
	for _, operation := range operations {
		result, err := d.perform(operation, next)
		if err != nil {
			return nil, err
		}
		response.Responses = append(response.Responses, result)
	}
	response.Header = d.header()
	return response, nil
}

// checkOperations finds what would make perform fail, before anything is written.
func (d *database) checkOperations(operations []wire.RequestOp) error {
	for _, operation := range operations {
		switch {
		case operation.Range != nil:
			if _, err := d.read(operation.Range); err != nil {
				return err
			}
		case operation.Put != nil:
			if len(operation.Put.Key) == 0 {
				return errNoKey
			}
		case operation.DeleteRange == nil || len(operation.DeleteRange.Key) == 0:
			return errNoKey
		}
	}
	return nil
}

func (d *database) perform(operation wire.RequestOp, next int64) (wire.ResponseOp, error) {
	switch {
	case operation.Range != nil:
		found, err := d.read(operation.Range)
		return wire.ResponseOp{Range: found}, err
	case operation.Put != nil:
		err := d.put(operation.Put, next)
		return wire.ResponseOp{Put: &wire.PutResponse{Header: d.header()}}, err
	default:
		keys := d.keysIn(operation.DeleteRange.Key, operation.DeleteRange.RangeEnd)
		d.remove(keys, next)
		return wire.ResponseOp{DeleteRange: &wire.DeleteRangeResponse{
			Header: d.header(), Deleted: wire.Integer(len(keys)),
		}}, nil
	}
}

func (d *database) holds(compare wire.Compare) (bool, error) {
	entry := d.entries[string(compare.Key)]
	var found, wanted wire.Integer
	switch compare.Target {
	case wire.TargetMod:
		found, wanted = entry.ModRevision, valueOf(compare.ModRevision)
	case wire.TargetCreate:
		found, wanted = entry.CreateRevision, valueOf(compare.CreateRevision)
	case wire.TargetVersion, "":
		found, wanted = entry.Version, valueOf(compare.Version)
	default:
		return false, errUnknownTarget
	}
	order := cmp.Compare(found, wanted)
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
		return false, errUnknownTarget
	}
}

func valueOf(integer *wire.Integer) wire.Integer {
	if integer == nil {
		return 0
	}
	return *integer
}
