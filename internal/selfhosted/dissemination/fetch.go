package dissemination

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// fetchDelay is the time that a push has to deliver a change before the change is fetched. It
// equals one tick of the Service.
const fetchDelay = 50 * time.Millisecond

// fetchState is the running or planned fetch. At most one exists.
type fetchState struct {
	from      netip.AddrPort
	revision  uint64
	due       Time
	inFlight  bool
	startedAt Time
}

// Hint reports that a member announced a revision outside of the exchange protocol, for example in
// a heartbeat.
func (c *Core) Hint(now Time, from netip.AddrPort, revision uint64) { c.planFetch(now, from, revision) }

// planFetch schedules a fetch if a peer holds a higher revision than this node.
func (c *Core) planFetch(now Time, from netip.AddrPort, revision uint64) {
	if revision <= c.log.revision() {
		return
	}
	f := &c.fetch
	if f.revision <= c.log.revision() {
		f.due = now + fetchDelay
	}
	if revision > f.revision || f.revision <= c.log.revision() {
		f.from, f.revision = from, revision
	}
}

// tickFetch starts the planned fetch when it is due and abandons a fetch that exceeds its timeout.
func (c *Core) tickFetch(now Time) {
	f := &c.fetch
	if f.inFlight && now-f.startedAt > c.config.FetchTimeout {
		f.inFlight, f.revision = false, 0
	}
	if f.inFlight || f.revision <= c.log.revision() || now < f.due {
		return
	}
	f.inFlight, f.startedAt = true, now
	c.ready.Fetch = &Fetch{To: f.from, Request: FetchRequest{Revision: c.log.revision()}}
}

// StepFetched processes the result of a fetch; response is nil if the fetch failed. The next
// response of a peer with a higher revision plans another fetch.
func (c *Core) StepFetched(now Time, response *FetchResponse) {
	c.fetch.inFlight, c.fetch.revision = false, 0
	if response == nil {
		return
	}
	if c.installCheckpoint(response.Checkpoint) || len(c.log.append(response.Changes)) > 0 {
		c.handleInstalled(now)
	}
	c.advanceProposals(now)
}

// installCheckpoint installs a checkpoint if its revision is higher and reports whether it did.
func (c *Core) installCheckpoint(checkpoint *catalog.Catalog) bool {
	if c.disabled.monotonic && checkpoint != nil {
		c.log.catalog = catalog.Empty()
		c.log.tail = nil
	}
	return c.log.installCheckpoint(checkpoint)
}

// AnswerFetch returns the response to a peer's fetch request without changing the core's state.
func (c *Core) AnswerFetch(request FetchRequest) FetchResponse {
	changes, ok := c.log.changesAfter(request.Revision)
	if !ok {
		return FetchResponse{Checkpoint: c.log.catalog}
	}
	return FetchResponse{Changes: changes}
}
