package settings

import (
	"bytes"
	"errors"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/samber/oops"
)

// maximumFileBytes bounds the settings file.
const maximumFileBytes = 1 << 20

// Load returns the defaults, overridden by the file (none if path is empty),
// overridden by the flags in their order, and checked. The error is Problems,
// wrapped, unless the file cannot be read.
func Load(path string, overrides ...Override) (Settings, error) {
	loader := newLoader()
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, oops.In("settings").With("step", "settings.read").Wrap(err)
		}
		loader.readFile(path, content)
	}
	return loader.finish(overrides)
}

// Parse is Load for a file that has been read already; name stands for it in
// errors.
func Parse(name string, content []byte, overrides ...Override) (Settings, error) {
	loader := newLoader()
	loader.readFile(name, content)
	return loader.finish(overrides)
}

// loader collects the settings and what is wrong with them.
type loader struct {
	settings Settings
	origins  map[string]Origin
	problems Problems
}

func newLoader() *loader {
	return &loader{settings: Defaults(), origins: map[string]Origin{}}
}

func (l *loader) finish(overrides []Override) (Settings, error) {
	for _, override := range overrides {
		l.override(override)
	}
	if len(l.problems) == 0 {
		l.problems = check(l.settings, l.origins)
	}
	if err := l.problems.orNil(); err != nil {
		return Settings{}, oops.In("settings").With("step", "settings.check").Wrap(err)
	}
	return l.settings, nil
}

func (l *loader) add(origin Origin, key, expected, found string) {
	l.problems = append(l.problems, Problem{Origin: origin, Key: key, Expected: expected, Found: found})
}

// readFile takes the keys of the file one by one, so that every problem is
// found in one go.
func (l *loader) readFile(name string, content []byte) {
	if len(content) > maximumFileBytes {
		l.add(Origin{File: name}, "", "at most 1 MiB", "more")
		return
	}
	if problem, bad := checkSyntax(name, content); bad {
		l.problems = append(l.problems, problem)
		return
	}
	parser := &unstable.Parser{}
	parser.Reset(content)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := keyOf(parser, expression)
		origin := Origin{File: name, Line: line}
		switch expression.Kind {
		case unstable.Table:
			table = key
			l.enterTable(origin, key)
		case unstable.ArrayTable:
			table = key
			l.add(origin, key, "a table, not a list of tables", "[["+key+"]]")
		case unstable.KeyValue:
			l.readKey(origin, table, prefixOf(table)+key, string(parser.Raw(expression.Raw)))
		}
	}
}

func (l *loader) enterTable(origin Origin, key string) {
	if known, found := findField(key); !found {
		l.add(origin, key, describeKnown(key), "")
	} else if !known.table {
		l.add(origin, key, known.expect, "a table")
	}
}

// readKey decodes one "key = value" of a table into the settings.
func (l *loader) readKey(origin Origin, table, key, text string) {
	if known, found := findField(table); table != "" && (!found || !known.table) {
		return // reported with the table
	}
	document := text + "\n"
	if table != "" {
		document = "[" + table + "]\n" + document
	}
	err := decodeStrict(document, &l.settings)
	if err == nil {
		l.origins[key] = origin
		return
	}
	key = failedKey(err, key)
	found := valueText(text)
	if known, isKnown := findField(key); isKnown {
		l.add(origin, key, known.expect, found)
	} else {
		l.add(origin, key, describeKnown(key), "")
	}
}

func decodeStrict(document string, target *Settings) error {
	decoded := *target
	if err := toml.NewDecoder(strings.NewReader(document)).DisallowUnknownFields().Decode(&decoded); err != nil {
		return err
	}
	var values map[string]any
	if err := toml.Unmarshal([]byte(document), &values); err != nil {
		return err
	}
	if err := checkDurations(values, ""); err != nil {
		return err
	}
	*target = decoded
	return nil
}

// bareDurationError is a duration that is a number. The decoder would take it
// as nanoseconds, since that is how Go holds a duration.
type bareDurationError struct{ key string }

// Error names the key.
func (e *bareDurationError) Error() string { return e.key + " is a number without a unit" }

func checkDurations(values map[string]any, prefix string) error {
	for name, value := range values {
		switch value := value.(type) {
		case map[string]any:
			if err := checkDurations(value, prefix+name+"."); err != nil {
				return err
			}
		case int64:
			if known, _ := findField(prefix + name); known.duration {
				return &bareDurationError{key: known.key}
			}
		}
	}
	return nil
}

// failedKey is the full key at which decoding stopped, or fallback.
func failedKey(err error, fallback string) string {
	var bare *bareDurationError
	if errors.As(err, &bare) {
		return bare.key
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		return strings.Join(unknown.Errors[0].Key(), ".")
	}
	var failure *toml.DecodeError
	if errors.As(err, &failure) && len(failure.Key()) > 0 {
		return strings.Join(failure.Key(), ".")
	}
	return fallback
}

// checkSyntax finds errors of the TOML text itself, and keys set twice.
func checkSyntax(name string, content []byte) (Problem, bool) {
	var document map[string]any
	err := toml.NewDecoder(bytes.NewReader(content)).Decode(&document)
	if err == nil {
		return Problem{}, false
	}
	problem := Problem{Origin: Origin{File: name}, Expected: "a TOML document", Found: err.Error()}
	var failure *toml.DecodeError
	if errors.As(err, &failure) {
		problem.Origin.Line, _ = failure.Position()
		problem.Key = strings.Join(failure.Key(), ".")
		problem.Found = strings.TrimPrefix(failure.Error(), "toml: ")
	}
	return problem, true
}

func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for iterator := expression.Key(); iterator.Next(); {
		node := iterator.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// valueText is the part of "key = value" after the sign, on one line.
func valueText(text string) string {
	_, value, _ := strings.Cut(text, "=")
	return strings.Join(strings.Fields(value), " ")
}
