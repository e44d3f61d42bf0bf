package experiment

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// applySettings writes named values into the exported fields of a struct.
func applySettings(target any, settings map[string]any) error {
	return applyTo(reflect.ValueOf(target).Elem(), "", settings)
}

func applyTo(target reflect.Value, path string, settings map[string]any) error {
	for key, value := range settings {
		field := fieldNamed(target, key)
		if !field.IsValid() {
			return fmt.Errorf("no setting %q", path+key)
		}
		if err := assign(field, path+key, value); err != nil {
			return err
		}
	}
	return nil
}

// fieldNamed finds the field whose name in snake case is the key.
func fieldNamed(target reflect.Value, key string) reflect.Value {
	name := strings.ReplaceAll(key, "_", "")
	return target.FieldByNameFunc(func(field string) bool { return strings.EqualFold(field, name) })
}

func assign(field reflect.Value, path string, value any) error {
	wrong := fmt.Errorf("setting %q: %v does not fit %s", path, value, field.Type())
	if nested, ok := value.(map[string]any); ok {
		if field.Kind() != reflect.Struct {
			return wrong
		}
		return applyTo(field, path+".", nested)
	}
	if field.Type() == reflect.TypeFor[time.Duration]() {
		text, _ := value.(string)
		duration, err := time.ParseDuration(text)
		if err != nil {
			return wrong
		}
		field.SetInt(int64(duration))
		return nil
	}
	given := reflect.ValueOf(value)
	whole := given.CanInt() && (field.CanInt() || field.CanFloat())
	if !whole && given.Kind() != field.Kind() {
		return wrong
	}
	field.Set(given.Convert(field.Type()))
	return nil
}
