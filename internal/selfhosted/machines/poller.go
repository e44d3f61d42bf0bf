package machines

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
)

const (
	// maxListBytes limits the size of a response and thereby the memory of a read.
	maxListBytes = 16 << 20
	// stepFetch is the value of the attribute step in errors of a read.
	stepFetch = "machines.fetch"
)

// Config specifies the address of the machine list and the timing of reads.
type Config struct {
	Address netip.AddrPort
	// Interval is the mean time between two reads. Each delay is uniformly distributed between
	// Interval*(1-Jitter) and Interval*(1+Jitter).
	Interval time.Duration
	Jitter   float64
	// Timeout limits one read.
	Timeout time.Duration
}

// DefaultConfig returns a Config without an address.
func DefaultConfig() Config {
	return Config{Interval: time.Second, Jitter: 0.2, Timeout: time.Second}
}

// Reading is the last list that was read successfully, with its age.
type Reading struct {
	List List
	// Age is the time since the list was requested, on the monotonic clock. The list already lagged
	// behind the platform's state at that time.
	Age time.Duration
	// HasList is false until the first read succeeds.
	HasList bool
	// Err is the error of the latest attempt; nil if it succeeded.
	Err error
}

// Poller reads the machine list periodically and keeps the last one. It is safe for concurrent use.
type Poller struct {
	config  Config
	client  *http.Client
	random  *rand.Rand
	metrics *metrics

	mutex       sync.Mutex
	list        List
	requestedAt time.Time
	hasList     bool
	lastErr     error
}

// NewPoller returns a poller and registers its metrics. The first read occurs in Run or Poll.
func NewPoller(config Config, random *rand.Rand, registerer prometheus.Registerer) *Poller {
	defaults := DefaultConfig()
	if config.Interval <= 0 {
		config.Interval = defaults.Interval
	}
	if config.Timeout <= 0 {
		config.Timeout = defaults.Timeout
	}
	poller := &Poller{config: config, random: random, client: &http.Client{Transport: &http.Transport{}}}
	poller.metrics = newMetrics(poller, registerer)
	return poller
}

// Run reads the list immediately and then at every interval until ctx ends. After each successful
// read, Run calls onReading, if it is not nil, from its own goroutine.
func (p *Poller) Run(ctx context.Context, onReading func(List)) {
	defer p.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if list, err := p.Poll(ctx); err == nil && onReading != nil {
			onReading(list)
		}
		timer.Reset(p.nextDelay())
	}
}

// Poll reads the list once and keeps it. A failed read or a list with an invalid entry leaves the
// last list in place.
func (p *Poller) Poll(ctx context.Context) (List, error) {
	requestedAt := time.Now()
	list, err := p.fetch(ctx)
	p.metrics.count(err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastErr = err
	if err != nil {
		return List{}, err
	}
	p.list, p.requestedAt, p.hasList = list, requestedAt, true
	return list, nil
}

// Last returns the last list that was read. Callers must not modify it.
func (p *Poller) Last() Reading {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	reading := Reading{List: p.list, HasList: p.hasList, Err: p.lastErr}
	if p.hasList {
		reading.Age = time.Since(p.requestedAt)
	}
	return reading
}

// nextDelay returns the interval with random jitter.
func (p *Poller) nextDelay() time.Duration {
	spread := p.config.Jitter * (2*p.random.Float64() - 1)
	return time.Duration(float64(p.config.Interval) * (1 + spread))
}

func (p *Poller) fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	errorBuilder := oops.In("machines").With("step", stepFetch, "peer", p.config.Address.String())
	url := "http://" + p.config.Address.String() + ListPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return List{}, errorBuilder.Wrap(err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return List{}, errorBuilder.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return List{}, errorBuilder.Errorf("read machine list: HTTP status %d", response.StatusCode)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return List{}, errorBuilder.Wrap(err)
	}
	if err := list.Validate(); err != nil {
		return List{}, errorBuilder.Wrap(err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxListBytes))
	return list, nil
}
