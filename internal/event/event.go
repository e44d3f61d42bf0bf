// Package event defines one type for each structured log line that reports a decision of a
// node or a change of its state. The types define the messages, levels and fields of these
// lines; docs/EVENTS.md is generated from them by a test. Errors are logged with the attributes
// of internal/telemetry.
//
// The struct tag "event" is the name under which a field is logged. The struct tag "doc"
// describes the field, with its unit.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"
	"sync"

	"github.com/micaplank/micaplank/internal/telemetry"
)

// Event is a log line: a struct whose fields have the tags "event" and "doc".
type Event interface {
	Kind() Kind
}

// Kind holds the message, level and description of an event. All events of a type share the
// message; the level may depend on the fields of the event.
type Kind struct {
	// Message is the log message. It is unique to the type.
	Message string
	Level   slog.Level
	// Meaning describes the event for operators, in whole sentences.
	Meaning string
}

// Log writes an event if the logger is enabled for its level.
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

// newAttribute returns the log attribute for the value of a field. The attribute of an error
// also holds the step and the peer of the error.
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

// Field describes a logged field of an event type.
type Field struct {
	Name  string
	Doc   string
	index int
}

// fieldCache maps a reflect.Type to its []Field, so that reflection reads the tags of a type once.
var fieldCache sync.Map

// loggedFields returns the fields of an event type that have the tag "event".
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
