package telemetry

import (
	"context"
	"log/slog"
	"slices"
)

// attributeOrder lists the attributes that come first on a line. Other attributes follow in the
// order in which they were added, and the error comes last.
var attributeOrder = []string{AttributeStep, AttributePeer, AttributeRequestID}

// orderingHandler is a slog.Handler that sorts the attributes of a record by attributeRank.
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

// flattenAttribute expands a group without a name, and replaces an error value by its log
// attributes, so that stack traces are not logged.
func flattenAttribute(attribute slog.Attr) []slog.Attr {
	if err, isError := attribute.Value.Any().(error); isError && attribute.Key == AttributeError {
		attribute = Error(err)
	}
	if attribute.Key == "" && attribute.Value.Kind() == slog.KindGroup {
		return attribute.Value.Group()
	}
	return []slog.Attr{attribute}
}

// attributeRank returns the sort position of an attribute.
func attributeRank(key string) int {
	if index := slices.Index(attributeOrder, key); index >= 0 {
		return index
	}
	if key == AttributeError {
		return len(attributeOrder) + 1
	}
	return len(attributeOrder)
}
