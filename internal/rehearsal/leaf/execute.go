package leaf

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/micaplank/micaplank/internal/clock"
	protocol "github.com/micaplank/micaplank/internal/leaf"
	"github.com/micaplank/micaplank/internal/rows"
)

// attempt is one execute request on its way through the leaf.
type attempt struct {
	request   protocol.ExecuteRequest
	arrived   time.Time
	execution Execution
	statement statement
}

// remaining is the time left of the request's own.
func (a *attempt) remainingTime() time.Duration {
	limit := time.Duration(a.request.RemainingMilliseconds) * time.Millisecond
	return limit - time.Since(a.arrived)
}

func (s *Server) handleExecute(c echo.Context) error {
	a := &attempt{arrived: time.Now()}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if err := decodeStrict(body, &a.request); err != nil {
		return err
	}
	a.execution = s.newExecution(a)
	ctx := c.Request().Context()
	response := s.execute(ctx, a)
	if response == nil {
		return ctx.Err() // the caller is gone
	}
	return s.writeReply(c, response)
}

func (s *Server) newExecution(a *attempt) Execution {
	return Execution{
		RequestID: a.request.RequestID,
		AttemptID: a.request.AttemptID,
		Service:   a.request.Service,
		Shard:     a.request.Shard,
		Snapshot:  a.request.Snapshot,
		Statement: a.request.Statement,
		Draining:  s.draining.Load(),
		Arrived:   a.arrived.UnixMicro(),
	}
}

// execute blocks until the attempt has run or is refused. It returns nil if
// the caller went away.
func (s *Server) execute(ctx context.Context, a *attempt) *protocol.ExecuteResponse {
	if refusal, detail := s.validate(a); refusal != protocol.RefusedNone {
		return s.refuse(a, refusal, detail)
	}
	refusal, err := s.slots.acquire(ctx, a.remainingTime())
	switch {
	case err != nil:
		s.recordOutcome(a, OutcomeCancelledQueued, protocol.RefusedNone)
		return nil
	case refusal != protocol.RefusedNone:
		return s.refuse(a, refusal, "")
	}
	started := time.Now()
	defer func() { s.slots.release(time.Since(started)) }()
	return s.run(ctx, a, started)
}

// check refuses what need not wait for a slot.
func (s *Server) validate(a *attempt) (protocol.Refusal, string) {
	faults := s.faults.get()
	switch {
	case faults.Refuse != protocol.RefusedNone:
		return faults.Refuse, "told to refuse"
	case a.execution.Draining:
		return protocol.RefusedDraining, ""
	case s.state() == protocol.StateCold && s.config.ColdFactor == 0:
		return protocol.RefusedCold, ""
	case a.request.Service != s.config.Service:
		return protocol.RefusedInvalid, "this leaf serves " + s.config.Service
	}
	if _, refusal := s.holdings.lookup(a.request.Snapshot, a.request.Shard); refusal != protocol.RefusedNone {
		return refusal, ""
	}
	parsed, err := s.parser.parse(a.request.Statement)
	if err != nil {
		return protocol.RefusedInvalid, err.Error()
	}
	a.statement = parsed
	return protocol.RefusedNone, ""
}

// run executes the attempt in its slot. The rows are those of the start, also
// if the version is dropped meanwhile.
func (s *Server) run(ctx context.Context, a *attempt, started time.Time) *protocol.ExecuteResponse {
	if a.remainingTime() <= 0 {
		return s.refuse(a, protocol.RefusedLate, "")
	}
	table, refusal := s.holdings.lookup(a.request.Snapshot, a.request.Shard)
	if refusal != protocol.RefusedNone {
		return s.refuse(a, refusal, "")
	}
	result, err := table.evaluate(s.config.Service, a.statement)
	if err != nil {
		return s.refuse(a, protocol.RefusedInvalid, err.Error())
	}
	a.execution.Started = started.UnixMicro()
	if !s.simulateServiceTime(ctx, a.statement) {
		s.recordOutcome(a, OutcomeCancelledRunning, protocol.RefusedNone)
		return nil
	}
	s.applyInsert(a)
	s.recordOutcome(a, OutcomeExecuted, protocol.RefusedNone)
	return s.newResponse(a, result)
}

// serviceTime keeps the slot busy, and reports false if ctx was done first.
func (s *Server) simulateServiceTime(ctx context.Context, statement statement) bool {
	factor := s.faults.get().SlowFactor
	if s.state() == protocol.StateCold {
		factor *= s.config.ColdFactor
	}
	distribution := s.config.Select
	if statement.insertion != nil {
		distribution = s.config.Insert
	}
	timer := time.NewTimer(s.sampler.sample(distribution, factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// insertRows applies an insert. From here on it has taken effect.
func (s *Server) applyInsert(a *attempt) {
	var entries []Inserted
	for _, row := range a.statement.insertedRows(s.config.Service, a.request.Snapshot.Version) {
		entries = append(entries, Inserted{RequestID: a.request.RequestID, Version: a.request.Snapshot.Version, Row: row})
	}
	s.addInserted(entries...)
}

func (s *Server) addInserted(entries ...Inserted) {
	s.journal.add(entries...)
	for _, entry := range entries {
		s.holdings.invalidateAfter(entry.Version)
	}
}

func (s *Server) recordOutcome(a *attempt, outcome Outcome, refusal protocol.Refusal) {
	a.execution.Outcome = outcome
	a.execution.Refusal = refusal
	s.executions.add(a.execution)
}

func (s *Server) refuse(a *attempt, refusal protocol.Refusal, detail string) *protocol.ExecuteResponse {
	s.recordOutcome(a, OutcomeRefused, refusal)
	response := s.newResponse(a, rows.Table{})
	response.Executed = false
	response.Refusal = refusal
	response.Detail = detail
	return response
}

func (s *Server) newResponse(a *attempt, table rows.Table) *protocol.ExecuteResponse {
	return &protocol.ExecuteResponse{
		RequestID: a.request.RequestID,
		AttemptID: a.request.AttemptID,
		Shard:     a.request.Shard,
		Snapshot:  a.request.Snapshot,
		BootID:    s.bootID,
		Executed:  true,
		RowCount:  len(table.Rows),
		Table:     table,
	}
}

// reply sends the response, or what the faults in force make of it.
func (s *Server) writeReply(c echo.Context, response *protocol.ExecuteResponse) error {
	faults := s.faults.get()
	if s.faults.consumeLostReply() {
		return closeConnection(c)
	}
	if faults.Cross {
		response = s.replySwapper.swap(response)
	}
	if faults.Truncate && len(response.Table.Rows) > 0 {
		response.Table.Rows = response.Table.Rows[:len(response.Table.Rows)-1]
	}
	if !clock.Sleep(c.Request().Context(), time.Duration(faults.DelayMilliseconds)*time.Millisecond) {
		return c.Request().Context().Err()
	}
	response.Load = s.reporter.summary()
	if s.config.GoAway && s.draining.Load() {
		// net/http turns this into GOAWAY on an HTTP/2 connection.
		c.Response().Header().Set("Connection", "close")
	}
	return c.JSON(http.StatusOK, response)
}

// closeConnection cuts the connection under the request and its neighbours.
func closeConnection(c echo.Context) error {
	if conn, ok := c.Request().Context().Value(connectionKey{}).(net.Conn); ok {
		conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// crossing exchanges replies between requests.
type replySwapper struct {
	mutex    sync.Mutex
	previous *protocol.ExecuteResponse
}

// swap keeps the response and returns the one kept before, if any.
func (c *replySwapper) swap(response *protocol.ExecuteResponse) *protocol.ExecuteResponse {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	previous := c.previous
	c.previous = response
	if previous == nil {
		return response
	}
	copied := *previous
	return &copied
}
