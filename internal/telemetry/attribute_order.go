package telemetry

import (
	"context"
	"log/slog"
	"slices"
)

// attributeOrder is the order of the shared attributes on a line; others
// follow in the order in which they were given.
var attributeOrder = []string{AttributeStep, AttributePeer, AttributeRequestID}

// orderingHandler puts the shared attributes of a record first.
type orderingHandler struct{ next slog.Handler }

func newOrderingHandler(next slog.Handler) slog.Handler { return orderingHandler{next: next} }

// Enabled implements slog.Handler.
func (h orderingHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h orderingHandler) Handle(ctx context.Context, record slog.Record) error {
	attributes := make([]slog.Attr, 0, record.NumAttrs())
	record.Attrs(func(attribute slog.Attr) bool {
		attributes = append(attributes, flattenAttribute(attribute)...)
		return true
	})
	slices.SortStableFunc(attributes, func(left, right slog.Attr) int { return attributeRank(left.Key) - attributeRank(right.Key) })
	ordered := slog.NewRecord(record.Time, record.Level, record.Message, record.PC)
	ordered.AddAttrs(attributes...)
	return h.next.Handle(ctx, ordered)
}

// WithAttrs implements slog.Handler.
func (h orderingHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return orderingHandler{next: h.next.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (h orderingHandler) WithGroup(name string) slog.Handler {
	return orderingHandler{next: h.next.WithGroup(name)}
}

// inlined opens a group without a name, and turns an error given as a value
// into its attributes, so that no stack trace gets into a line.
func flattenAttribute(attribute slog.Attr) []slog.Attr {
	if err, isError := attribute.Value.Any().(error); isError && attribute.Key == AttributeError {
		attribute = Error(err)
	}
	if attribute.Key == "" && attribute.Value.Kind() == slog.KindGroup {
		return attribute.Value.Group()
	}
	return []slog.Attr{attribute}
}

func attributeRank(key string) int {
	if index := slices.Index(attributeOrder, key); index >= 0 {
		return index
	}
	if key == AttributeError {
		return len(attributeOrder) + 1
	}
	return len(attributeOrder)
}
