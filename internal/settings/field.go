package settings

import (
	"reflect"
	"slices"
	"strings"
)

const (
	tagTOML   = "toml"
	tagExpect = "expect"
	// maximumEdits is how far an unknown key may be from the known one that
	// an error suggests.
	maximumSuggestionDistance = 2
)

// field is one key that the settings know.
type field struct {
	// key is dotted; table is true for a section such as "listen".
	key      string
	expected string
	table    bool
	// duration is true for a value that is written as text with a unit.
	duration bool
}

// knownFields lists every key, in the order of the settings.
var allFields = collectFields(reflect.TypeFor[Settings](), "")

func collectFields(structure reflect.Type, prefix string) []field {
	var fields []field
	for index := range structure.NumField() {
		structField := structure.Field(index)
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

// describeKnown says in words which keys may stand where the unknown key does.
func describeValidKeys(key string) string {
	table, name := "", key
	if dot := strings.LastIndex(key, "."); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	if section, exists := findField(table); table != "" && (!exists || !section.table) {
		return describeValidKeys(table)
	}
	nearest, distance := "", len(name)
	var names []string
	for _, candidate := range allFields {
		rest, inTable := strings.CutPrefix(candidate.key, keyPrefix(table))
		if !inTable || strings.Contains(rest, ".") {
			continue
		}
		names = append(names, rest)
		if d := editDistance(name, rest); d < distance {
			nearest, distance = rest, d
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

// editDistance is the Levenshtein distance of two short texts.
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
