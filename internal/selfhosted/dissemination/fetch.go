package dissemination

import (
	"net/netip"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
)

// fetchDelay lets a push arrive before the same change is fetched.
// Not measured: chosen because it is one tick of the Service.
const fetchDelay = 50 * time.Millisecond

// fetchState is the one fetch that runs or waits.
type fetchState struct {
	from      netip.AddrPort
	revision  uint64
	due       Time
	inFlight  bool
	startedAt Time
}

// Hint informs the core that a member announced a revision elsewhere, as in a
// heartbeat.
func (c *Core) Hint(now Time, from netip.AddrPort, revision uint64) { c.planFetch(now, from, revision) }

// want plans a fetch if a peer holds more than this node.
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

// StepFetched processes the result of a fetch; response is nil if it failed. The
// next answer of a peer that holds more starts another.
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

// replace installs a checkpoint of a higher revision.
func (c *Core) installCheckpoint(checkpoint *catalog.Catalog) bool {
	if c.disabled.monotonic && checkpoint != nil {
		c.log.catalog = catalog.Empty()
		c.log.tail = nil
	}
	return c.log.installCheckpoint(checkpoint)
}

// AnswerFetch returns what a peer asked for. It changes nothing.
func (c *Core) AnswerFetch(request FetchRequest) FetchResponse {
	changes, ok := c.log.changesAfter(request.Revision)
	if !ok {
		return FetchResponse{Checkpoint: c.log.catalog}
	}
	return FetchResponse{Changes: changes}
}
