package leaf

import "fmt"

// verify checks that the response is the whole reply to the request.
func verifyReply(request *ExecuteRequest, response *ExecuteResponse) error {
	if !echoesRequest(request, response) {
		return fmt.Errorf("%w: sent %s/%s shard %d snapshot %v, got %s/%s shard %d snapshot %v", ErrCrossedReply,
			request.RequestID, request.AttemptID, request.Shard, request.Snapshot,
			response.RequestID, response.AttemptID, response.Shard, response.Snapshot)
	}
	if response.Executed != (response.Refusal == RefusedNone) {
		return fmt.Errorf("%w: executed is %t and the refusal %q", ErrMalformedReply, response.Executed, response.Refusal)
	}
	if response.RowCount != len(response.Table.Rows) {
		return fmt.Errorf("%w: %d rows of %d", ErrTruncatedReply, len(response.Table.Rows), response.RowCount)
	}
	for _, row := range response.Table.Rows {
		if len(row) != len(response.Table.Columns) {
			return fmt.Errorf("%w: a row of %d values under %d columns", ErrTruncatedReply, len(row), len(response.Table.Columns))
		}
	}
	return nil
}

func echoesRequest(request *ExecuteRequest, response *ExecuteResponse) bool {
	return response.RequestID == request.RequestID &&
		response.AttemptID == request.AttemptID &&
		response.Shard == request.Shard &&
		response.Snapshot == request.Snapshot
}
