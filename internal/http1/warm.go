package http1

import (
	"context"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
)

const (
	// warmInterval is the time between two looks at what should be warm.
	warmInterval = 250 * time.Millisecond
	// warmPause is the time between two connections that are opened ahead.
	warmPause = 3 * time.Millisecond
	// warmTries is how often a connection to one target is opened ahead: a
	// target that gets no request for that long is not worth more.
	warmTries = 3
)

// SetWarm says whether KeepWarm opens connections.
func (c *Client) SetWarm(warm bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.warm = warm
}

// KeepWarm opens a connection ahead of the first request to each target of
// which connections are kept, until ctx ends. So the first requests after a
// start, and to new targets, do not wait for it.
func (c *Client) KeepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, cold := range c.cold() {
			cold.openAhead(ctx)
			if !clock.Sleep(ctx, warmPause) {
				return
			}
		}
	}
}

// cold returns the pools to which a connection should be opened ahead, and
// counts the try.
func (c *Client) cold() []*pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.warm || c.closed {
		return nil
	}
	var found []*pool
	for target, kept := range c.kept {
		if kept == 0 {
			continue
		}
		if from := c.poolOf(target); from.claimWarm() {
			found = append(found, from)
		}
	}
	return found
}

// claimWarm counts a try to open a connection ahead, and reports whether one is
// due.
func (p *pool) claimWarm() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open > 0 || p.warmed >= warmTries || p.closed {
		return false
	}
	p.warmed++
	p.open++
	return true
}

// openAhead opens the connection that claimWarm has counted, and lets it rest.
func (p *pool) openAhead(ctx context.Context) {
	if opened, err := p.connect(ctx); err == nil {
		opened.release()
	}
}
