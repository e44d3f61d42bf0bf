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
	maximumEdits = 2
)

// field is one key that the settings know.
type field struct {
	// key is dotted; table is true for a section such as "listen".
	key    string
	expect string
	table  bool
	// duration is true for a value that is written as text with a unit.
	duration bool
}

// knownFields lists every key, in the order of the settings.
var knownFields = listFields(reflect.TypeFor[Settings](), "")

func listFields(structure reflect.Type, prefix string) []field {
	var fields []field
	for index := range structure.NumField() {
		member := structure.Field(index)
		key := prefix + member.Tag.Get(tagTOML)
		expect := member.Tag.Get(tagExpect)
		if expect == "" {
			fields = append(fields, field{key: key, expect: "a table [" + key + "]", table: true})
			fields = append(fields, listFields(member.Type, key+".")...)
			continue
		}
		fields = append(fields, field{key: key, expect: expect, duration: member.Type == reflect.TypeFor[Duration]()})
	}
	return fields
}

func findField(key string) (field, bool) {
	index := slices.IndexFunc(knownFields, func(known field) bool { return known.key == key })
	if index < 0 {
		return field{}, false
	}
	return knownFields[index], true
}

// describeKnown says in words which keys may stand where the unknown key does.
func describeKnown(key string) string {
	table, name := "", key
	if dot := strings.LastIndex(key, "."); dot >= 0 {
		table, name = key[:dot], key[dot+1:]
	}
	if section, found := findField(table); table != "" && (!found || !section.table) {
		return describeKnown(table)
	}
	nearest, distance := "", len(name)
	var names []string
	for _, known := range knownFields {
		rest, inside := strings.CutPrefix(known.key, prefixOf(table))
		if !inside || strings.Contains(rest, ".") {
			continue
		}
		names = append(names, rest)
		if d := editDistance(name, rest); d < distance {
			nearest, distance = rest, d
		}
	}
	if nearest != "" && distance <= maximumEdits {
		return "a known key (did you mean \"" + prefixOf(table) + nearest + "\"?)"
	}
	where := "at the top level"
	if table != "" {
		where = "in [" + table + "]"
	}
	return "a known key " + where + ": " + strings.Join(names, ", ")
}

func prefixOf(table string) string {
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
