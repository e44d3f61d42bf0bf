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

// attempt is one execute request that the leaf processes.
type attempt struct {
	request   protocol.ExecuteRequest
	arrived   time.Time
	execution Execution
	statement statement
}

// remainingTime returns the rest of the time that the request allows for its execution.
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
		return ctx.Err() // the caller has disconnected
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

// execute blocks until the attempt has been executed or refused. It returns nil if the caller has
// disconnected.
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

// validate returns a refusal if the attempt can be refused before it gets a slot.
func (s *Server) validate(a *attempt) (protocol.Refusal, string) {
	faults := s.faults.get()
	switch {
	case faults.Refuse != protocol.RefusedNone:
		return faults.Refuse, "refused by an injected fault"
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

// run executes the attempt in its slot. It reads the rows that are held at the start, even if the
// version is dropped during the service time.
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

// simulateServiceTime keeps the slot busy for a random service time. It returns false if ctx ends
// first.
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

// applyInsert adds the rows of an insert statement. From this point on the insert has taken effect.
func (s *Server) applyInsert(a *attempt) {
	var entries []InsertedRow
	for _, row := range a.statement.insertedRows(s.config.Service, a.request.Snapshot.Version) {
		entries = append(entries, InsertedRow{RequestID: a.request.RequestID, Version: a.request.Snapshot.Version, Row: row})
	}
	s.addInsertedRows(entries...)
}

func (s *Server) addInsertedRows(entries ...InsertedRow) {
	s.journal.add(entries...)
	for _, entry := range entries {
		s.holdings.invalidateAfter(entry.Version)
	}
}

// recordOutcome adds the attempt to the execution log.
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

// writeReply sends the response after the current faults have been applied to it.
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
		// On an HTTP/2 connection net/http sends GOAWAY for this header.
		c.Response().Header().Set("Connection", "close")
	}
	return c.JSON(http.StatusOK, response)
}

// closeConnection closes the connection of the request. Other requests on the same HTTP/2
// connection fail too.
func closeConnection(c echo.Context) error {
	if conn, ok := c.Request().Context().Value(connectionKey{}).(net.Conn); ok {
		conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// replySwapper exchanges replies between requests.
type replySwapper struct {
	mutex    sync.Mutex
	previous *protocol.ExecuteResponse
}

// swap stores the response and returns the previous one. The first response is returned unchanged.
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
