package leaf

import "fmt"

// verifyReply checks that the response is a complete and consistent reply to the request.
func verifyReply(request *ExecuteRequest, response *ExecuteResponse) error {
	if !echoesRequest(request, response) {
		return fmt.Errorf("%w: sent %s/%s shard %d snapshot %v, got %s/%s shard %d snapshot %v", ErrCrossedReply,
			request.RequestID, request.AttemptID, request.Shard, request.Snapshot,
			response.RequestID, response.AttemptID, response.Shard, response.Snapshot)
	}
	if response.Executed != (response.Refusal == RefusedNone) {
		return fmt.Errorf("%w: executed is %t but refusal is %q", ErrMalformedReply, response.Executed, response.Refusal)
	}
	if response.RowCount != len(response.Table.Rows) {
		return fmt.Errorf("%w: got %d rows, want %d", ErrTruncatedReply, len(response.Table.Rows), response.RowCount)
	}
	for _, row := range response.Table.Rows {
		if len(row) != len(response.Table.Columns) {
			return fmt.Errorf("%w: got a row of %d values, want %d", ErrTruncatedReply, len(row), len(response.Table.Columns))
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
