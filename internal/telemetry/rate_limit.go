package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RateLimits limits the rate at which each message is logged. A message may be logged in a burst
// as large as the lines of one second.
type RateLimits struct {
	// Info limits lines below the level warn, Warn limits lines at warn and above, both in lines
	// per second.
	Info, Warn float64
}

// RateLimitHandler is a slog.Handler that drops lines beyond the rate limit of their message. It
// counts the dropped lines, and adds their number to the next line of the message.
type RateLimitHandler struct {
	next    slog.Handler
	limiter *rateLimiter
}

// rateLimiter holds the buckets of all messages. A handler shares it with the handlers that are
// derived from it by WithAttrs and WithGroup.
type rateLimiter struct {
	limits       RateLimits
	now          func() time.Time
	droppedTotal *prometheus.CounterVec

	mutex   sync.Mutex
	buckets map[bucketKey]*tokenBucket
}

// bucketKey identifies a bucket. Lines at warn and above have a bucket of their own, so that a
// flood of other lines with the same message does not displace them.
type bucketKey struct {
	message string
	urgent  bool
}

// tokenBucket is a token bucket that counts the lines it drops.
type tokenBucket struct {
	tokens     float64   // lines that may be written now
	refilledAt time.Time // time at which tokens was computed
	dropped    int       // lines dropped since the last one that was written
}

// NewRateLimitHandler returns a handler that limits the lines passed to next, and registers its
// counter. Messages must come from a fixed set, as each one gets a bucket and a label value.
func NewRateLimitHandler(next slog.Handler, limits RateLimits, registerer prometheus.Registerer) *RateLimitHandler {
	droppedTotal := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "micaplank_log_lines_capped_total", Help: "Log lines that were dropped beyond the rate of their message."}, []string{"message"})
	registerer.MustRegister(droppedTotal)
	return &RateLimitHandler{next: next, limiter: &rateLimiter{
		limits: limits, now: time.Now, droppedTotal: droppedTotal, buckets: make(map[bucketKey]*tokenBucket),
	}}
}

// Enabled implements slog.Handler.
func (h *RateLimitHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h *RateLimitHandler) Handle(ctx context.Context, record slog.Record) error {
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
func (h *RateLimitHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &RateLimitHandler{next: h.next.WithAttrs(attributes), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *RateLimitHandler) WithGroup(name string) slog.Handler {
	return &RateLimitHandler{next: h.next.WithGroup(name), limiter: h.limiter}
}

// allow takes a token from the bucket of a line. It reports whether the line may be written, and
// how many lines of the bucket were dropped before it.
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
