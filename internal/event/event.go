// Package event has a type for each line of a node's log that reports a decision
// or a change of what the node believes. It owns the messages, levels and fields
// of these lines; a test writes docs/EVENTS.md from them. It relies on
// internal/telemetry for the attributes of errors.
//
// A field is logged under the name in its tag "event"; its tag "doc" says what
// it means, with its unit.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"sync"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// Event is one line of the log. It is a struct whose fields have tags.
type Event interface {
	Kind() Kind
}

// Kind is what a line has beside its fields.
type Kind struct {
	// Message is the text of the line, the same for all events of a type.
	Message string
	Level   slog.Level
	// Meaning says what the line means, in a sentence.
	Meaning string
}

// Log writes an event, if its level is logged.
func Log(logger *slog.Logger, event Event) {
	ctx := context.Background()
	kind := event.Kind()
	if !logger.Enabled(ctx, kind.Level) {
		return
	}
	value := reflect.ValueOf(event)
	attributes := make([]slog.Attr, 0, value.NumField())
	for _, field := range loggedFields(value.Type()) {
		attributes = append(attributes, newAttribute(field.Name, value.Field(field.index)))
	}
	logger.LogAttrs(ctx, kind.Level, kind.Message, attributes...)
}

// attribute returns a field as it is logged. An error brings its step and peer
// with it.
func newAttribute(name string, value reflect.Value) slog.Attr {
	switch field := value.Interface().(type) {
	case nil:
		return slog.Attr{}
	case error:
		return telemetry.Error(field)
	case fmt.Stringer:
		return slog.String(name, field.String())
	default:
		return slog.Any(name, field)
	}
}

// Field describes one field of an event.
type Field struct {
	Name  string
	Doc   string
	index int
}

// known holds the fields of each type that was logged.
var fieldCache sync.Map

func loggedFields(eventType reflect.Type) []Field {
	if cached, ok := fieldCache.Load(eventType); ok {
		return cached.([]Field)
	}
	var fields []Field
	for index := range eventType.NumField() {
		tag := eventType.Field(index).Tag
		if name := tag.Get("event"); name != "" {
			fields = append(fields, Field{Name: name, Doc: tag.Get("doc"), index: index})
		}
	}
	fieldCache.Store(eventType, fields)
	return fields
}
