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

// maximumFileBytes is the maximum size of the settings file.
const maximumFileBytes = 1 << 20

// Load returns the defaults, overridden by the file and then by the flags in their order. An empty
// path means no file. Load validates the result. Its error wraps Problems, unless the file cannot
// be read.
func Load(path string, overrides ...Override) (Settings, error) {
	loader := newLoader()
	if path != "" {
		content, err := os.ReadFile(path)
		if err != nil {
			return Settings{}, oops.In("settings").With("step", "settings.read").Wrap(err)
		}
		loader.parseFile(path, content)
	}
	return loader.complete(overrides)
}

// Parse is like Load, but takes the content of the file. Errors use name as the name of the file.
func Parse(name string, content []byte, overrides ...Override) (Settings, error) {
	loader := newLoader()
	loader.parseFile(name, content)
	return loader.complete(overrides)
}

// loader collects the settings, the origin of each value and the problems.
type loader struct {
	settings Settings
	origins  map[string]Origin
	problems Problems
}

func newLoader() *loader {
	return &loader{settings: Defaults(), origins: map[string]Origin{}}
}

// complete applies the overrides and validates the settings if there are no problems so far.
func (l *loader) complete(overrides []Override) (Settings, error) {
	for _, override := range overrides {
		l.applyOverride(override)
	}
	if len(l.problems) == 0 {
		l.problems = validate(l.settings, l.origins)
	}
	if err := l.problems.asError(); err != nil {
		return Settings{}, oops.In("settings").With("step", "settings.check").Wrap(err)
	}
	return l.settings, nil
}

func (l *loader) addProblem(origin Origin, key, expected, actual string) {
	l.problems = append(l.problems, Problem{Origin: origin, Key: key, Expected: expected, Found: actual})
}

// parseFile decodes the keys of the file separately, so that one run reports every problem.
func (l *loader) parseFile(name string, content []byte) {
	if len(content) > maximumFileBytes {
		l.addProblem(Origin{File: name}, "", "at most 1 MiB", "more")
		return
	}
	if problem, invalid := checkSyntax(name, content); invalid {
		l.problems = append(l.problems, problem)
		return
	}
	parser := &unstable.Parser{}
	parser.Reset(content)
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		key, line := parseKey(parser, expression)
		origin := Origin{File: name, Line: line}
		switch expression.Kind {
		case unstable.Table:
			table = key
			l.checkTable(origin, key)
		case unstable.ArrayTable:
			table = key
			l.addProblem(origin, key, "a table, not a list of tables", "[["+key+"]]")
		case unstable.KeyValue:
			l.decodeKey(origin, table, keyPrefix(table)+key, string(parser.Raw(expression.Raw)))
		}
	}
}

// checkTable reports a table header whose key is unknown or is not a table.
func (l *loader) checkTable(origin Origin, key string) {
	if settingsField, exists := findField(key); !exists {
		l.addProblem(origin, key, describeValidKeys(key), "")
	} else if !settingsField.table {
		l.addProblem(origin, key, settingsField.expected, "a table")
	}
}

// decodeKey decodes one "key = value" expression of a table into the settings.
func (l *loader) decodeKey(origin Origin, table, key, text string) {
	if settingsField, exists := findField(table); table != "" && (!exists || !settingsField.table) {
		return // checkTable has already reported the table
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
	key = findErrorKey(err, key)
	value := extractValue(text)
	if settingsField, exists := findField(key); exists {
		l.addProblem(origin, key, settingsField.expected, value)
	} else {
		l.addProblem(origin, key, describeValidKeys(key), "")
	}
}

// decodeStrict decodes the document into target. It refuses unknown keys and durations without a
// unit, and leaves target unmodified on an error.
func decodeStrict(document string, target *Settings) error {
	decoded := *target
	if err := toml.NewDecoder(strings.NewReader(document)).DisallowUnknownFields().Decode(&decoded); err != nil {
		return err
	}
	var values map[string]any
	if err := toml.Unmarshal([]byte(document), &values); err != nil {
		return err
	}
	if err := rejectUnitlessDurations(values, ""); err != nil {
		return err
	}
	*target = decoded
	return nil
}

// unitlessDurationError reports a duration that is written as a number. The TOML decoder would read
// the number as nanoseconds.
type unitlessDurationError struct{ key string }

// Error implements error.
func (e *unitlessDurationError) Error() string { return e.key + " is a number without a unit" }

func rejectUnitlessDurations(values map[string]any, prefix string) error {
	for name, value := range values {
		switch value := value.(type) {
		case map[string]any:
			if err := rejectUnitlessDurations(value, prefix+name+"."); err != nil {
				return err
			}
		case int64:
			if settingsField, _ := findField(prefix + name); settingsField.duration {
				return &unitlessDurationError{key: settingsField.key}
			}
		}
	}
	return nil
}

// findErrorKey returns the dotted key that caused the decoding error, or fallback if err names no
// key.
func findErrorKey(err error, fallback string) string {
	var unitless *unitlessDurationError
	if errors.As(err, &unitless) {
		return unitless.key
	}
	var strictError *toml.StrictMissingError
	if errors.As(err, &strictError) && len(strictError.Errors) > 0 {
		return strings.Join(strictError.Errors[0].Key(), ".")
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) && len(decodeError.Key()) > 0 {
		return strings.Join(decodeError.Key(), ".")
	}
	return fallback
}

// checkSyntax reports whether the content is invalid TOML, including keys that are set twice, and
// returns the problem.
func checkSyntax(name string, content []byte) (Problem, bool) {
	var document map[string]any
	err := toml.NewDecoder(bytes.NewReader(content)).Decode(&document)
	if err == nil {
		return Problem{}, false
	}
	problem := Problem{Origin: Origin{File: name}, Expected: "a TOML document", Found: err.Error()}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		problem.Origin.Line, _ = decodeError.Position()
		problem.Key = strings.Join(decodeError.Key(), ".")
		problem.Found = strings.TrimPrefix(decodeError.Error(), "toml: ")
	}
	return problem, true
}

// parseKey returns the dotted key of the expression and the line on which the key starts.
func parseKey(parser *unstable.Parser, expression *unstable.Node) (key string, line int) {
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

// extractValue returns the value of "key = value" with its white space collapsed to one line.
func extractValue(text string) string {
	_, value, _ := strings.Cut(text, "=")
	return strings.Join(strings.Fields(value), " ")
}
