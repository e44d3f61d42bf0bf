package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// CapConfig bounds how many lines a second are logged of each message. A
// message may come in bursts of one second's lines.
type CapConfig struct {
	// Info is for lines below the level warn, Warn for the others; both in lines a
	// second.
	Info, Warn float64
}

// CappedHandler is a slog.Handler that drops lines beyond a rate for each
// message, counts them, and says with the next line of the message how many
// were dropped before it.
type CappedHandler struct {
	next  slog.Handler
	state *capState
}

// capState is shared by a handler and those made from it.
type capState struct {
	config  CapConfig
	now     func() time.Time
	counter *prometheus.CounterVec

	mutex   sync.Mutex
	buckets map[capKey]*capBucket
}

// capKey names a bucket. Urgent lines of a message have one of their own, so
// that many others do not displace them.
type capKey struct {
	message string
	urgent  bool
}

// capBucket is the token bucket of one message.
type capBucket struct {
	tokens  float64   // lines that may be written now
	at      time.Time // when tokens was computed
	dropped int       // lines since the last one that was written
}

// NewCappedHandler returns a handler in front of another, and registers its
// counter. The messages logged must be a fixed set of texts.
func NewCappedHandler(next slog.Handler, config CapConfig, registerer prometheus.Registerer) *CappedHandler {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "micaplank_log_lines_capped_total", Help: "Log lines that were dropped beyond the rate of their message."}, []string{"message"})
	registerer.MustRegister(counter)
	return &CappedHandler{next: next, state: &capState{
		config: config, now: time.Now, counter: counter, buckets: make(map[capKey]*capBucket),
	}}
}

// Enabled implements slog.Handler.
func (h *CappedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *CappedHandler) Handle(ctx context.Context, record slog.Record) error {
	dropped, taken := h.state.take(record)
	if !taken {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int("dropped_before", dropped))
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *CappedHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &CappedHandler{next: h.next.WithAttrs(attributes), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *CappedHandler) WithGroup(name string) slog.Handler {
	return &CappedHandler{next: h.next.WithGroup(name), state: h.state}
}

// take reports whether a line may be written, and how many of its message were
// dropped since the last one.
func (s *capState) take(record slog.Record) (dropped int, taken bool) {
	key := capKey{message: record.Message, urgent: record.Level >= slog.LevelWarn}
	rate := s.config.Info
	if key.urgent {
		rate = s.config.Warn
	}
	now := s.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	bucket, known := s.buckets[key]
	if !known {
		bucket = &capBucket{tokens: rate, at: now}
		s.buckets[key] = bucket
	}
	bucket.tokens = min(bucket.tokens+max(now.Sub(bucket.at).Seconds(), 0)*rate, rate)
	bucket.at = now
	if bucket.tokens < 1 {
		bucket.dropped++
		s.counter.WithLabelValues(record.Message).Inc()
		return 0, false
	}
	bucket.tokens--
	dropped, bucket.dropped = bucket.dropped, 0
	return dropped, true
}
