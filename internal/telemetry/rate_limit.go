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
	next    slog.Handler
	limiter *rateLimiter
}

// capState is shared by a handler and those made from it.
type rateLimiter struct {
	limits       CapConfig
	now          func() time.Time
	droppedTotal *prometheus.CounterVec

	mutex   sync.Mutex
	buckets map[bucketKey]*tokenBucket
}

// capKey names a bucket. Urgent lines of a message have one of their own, so
// that many others do not displace them.
type bucketKey struct {
	message string
	urgent  bool
}

// capBucket is the token bucket of one message.
type tokenBucket struct {
	tokens     float64   // lines that may be written now
	refilledAt time.Time // when tokens was computed
	dropped    int       // lines since the last one that was written
}

// NewCappedHandler returns a handler in front of another, and registers its
// counter. The messages logged must be a fixed set of texts.
func NewCappedHandler(next slog.Handler, limits CapConfig, registerer prometheus.Registerer) *CappedHandler {
	droppedTotal := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "micaplank_log_lines_capped_total", Help: "Log lines that were dropped beyond the rate of their message."}, []string{"message"})
	registerer.MustRegister(droppedTotal)
	return &CappedHandler{next: next, limiter: &rateLimiter{
		limits: limits, now: time.Now, droppedTotal: droppedTotal, buckets: make(map[bucketKey]*tokenBucket),
	}}
}

// Enabled implements slog.Handler.
func (h *CappedHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *CappedHandler) Handle(ctx context.Context, record slog.Record) error {
	dropped, allowed := h.limiter.allow(record)
	if !allowed {
		return nil
	}
	if dropped > 0 {
		record.AddAttrs(slog.Int("dropped_before", dropped))
	}
	return h.next.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *CappedHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &CappedHandler{next: h.next.WithAttrs(attributes), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *CappedHandler) WithGroup(name string) slog.Handler {
	return &CappedHandler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// take reports whether a line may be written, and how many of its message were
// dropped since the last one.
func (l *rateLimiter) allow(record slog.Record) (dropped int, allowed bool) {
	key := bucketKey{message: record.Message, urgent: record.Level >= slog.LevelWarn}
	rate := l.limits.Info
	if key.urgent {
		rate = l.limits.Warn
	}
	now := l.now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	bucket, exists := l.buckets[key]
	if !exists {
		bucket = &tokenBucket{tokens: rate, refilledAt: now}
		l.buckets[key] = bucket
	}
	bucket.tokens = min(bucket.tokens+max(now.Sub(bucket.refilledAt).Seconds(), 0)*rate, rate)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		bucket.dropped++
		l.droppedTotal.WithLabelValues(record.Message).Inc()
		return 0, false
	}
	bucket.tokens--
	dropped, bucket.dropped = bucket.dropped, 0
	return dropped, true
}
