package leaf

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/micaplank/micaplank/internal/rows"
)

// BenchmarkExecute measures a call with a reply of 20 rows. The server runs in the same process, so
// the results include its costs.
func BenchmarkExecute(b *testing.B) {
	table := rows.Table{Columns: []string{"lane", "carrier", "weight", "price"}}
	for i := range 20 {
		table.Rows = append(table.Rows, rows.Row{
			rows.NewText("OTR-SPK"), rows.NewText("coast"), rows.NewNumber(float64(50 * i)), rows.NewNumber(1000 + float64(i)),
		})
	}
	request := testRequest(true)
	reply, err := json.Marshal(ExecuteResponse{
		RequestID: request.RequestID, AttemptID: request.AttemptID, Shard: request.Shard, Snapshot: request.Snapshot,
		Executed: true, RowCount: len(table.Rows), Table: table, Load: LoadSummary{State: StateServing, Slots: 5},
	})
	if err != nil {
		b.Fatal(err)
	}
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			server := startRawServer(b, func(conn *rawConn, stream uint32, _ []byte) bool {
				conn.reply(stream, reply)
				return true
			})
			client := New(Config{}, nil)
			defer client.Close()
			b.ReportAllocs()
			b.SetParallelism(callers)
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					if _, err := client.Execute(context.Background(), server.address(), request); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
