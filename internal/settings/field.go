package settings

import (
	"reflect"
	"slices"
	"strings"
)

const (
	tagTOML   = "toml"
	tagExpect = "expect"
	// maximumSuggestionDistance is the maximum edit distance between an unknown key and the valid
	// key that the error suggests.
	maximumSuggestionDistance = 2
)

// field describes one valid key of the settings.
type field struct {
	// key is the dotted key, such as "listen.http".
	key string
	// expected describes the valid values in words.
	expected string
	// table is true for a table such as "listen".
	table bool
	// duration is true for a value of type Duration, which is text with a unit.
	duration bool
}

// allFields lists every valid key in the order of the fields of Settings.
var allFields = collectFields(reflect.TypeFor[Settings](), "")

func collectFields(structType reflect.Type, prefix string) []field {
	var fields []field
	for index := range structType.NumField() {
		structField := structType.Field(index)
		key := prefix + structField.Tag.Get(tagTOML)
		expect := structField.Tag.Get(tagExpect)
		if expect == "" {
			fields = append(fields, field{key: key, expected: "a table [" + key + "]", table: true})
			fields = append(fields, collectFields(structField.Type, key+".")...)
			continue
		}
		fields = append(fields, field{key: key, expected: expect, duration: structField.Type == reflect.TypeFor[Duration]()})
	}
	return fields
}

func findField(key string) (field, bool) {
	index := slices.IndexFunc(allFields, func(candidate field) bool { return candidate.key == key })
	if index < 0 {
		return field{}, false
	}
	return allFields[index], true
}

// describeValidKeys describes the valid keys of the table in which the unknown key stands. It
// suggests the nearest valid key if there is a similar one.
func describeValidKeys(key string) string {
	table, name := "", key
	if dot := strings.LastIndex(key, "."); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	if parent, exists := findField(table); table != "" && (!exists || !parent.table) {
		return describeValidKeys(table)
	}
	nearest, distance := "", len(name)
	var names []string
	for _, candidate := range allFields {
		childKey, inTable := strings.CutPrefix(candidate.key, keyPrefix(table))
		if !inTable || strings.Contains(childKey, ".") {
			continue
		}
		names = append(names, childKey)
		if d := editDistance(name, childKey); d < distance {
			nearest, distance = childKey, d
		}
	}
	if nearest != "" && distance <= maximumSuggestionDistance {
		return "a known key (did you mean \"" + keyPrefix(table) + nearest + "\"?)"
	}
	location := "at the top level"
	if table != "" {
		location = "in [" + table + "]"
	}
	return "a known key " + location + ": " + strings.Join(names, ", ")
}

func keyPrefix(table string) string {
	if table == "" {
		return ""
	}
	return table + "."
}

// editDistance returns the Levenshtein distance of two texts.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for column := range row {
		row[column] = column
	}
	for i := range len(left) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(right) {
			substituted := diagonal
			if left[i] != right[j] {
				substituted++
			}
			diagonal = row[j+1]
			row[j+1] = min(substituted, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(right)]
}
