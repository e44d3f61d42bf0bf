// Package report turns the result of an experiment into one JSON file and a
// Markdown page with tables and SVG plots.
package report

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/rehearsal/experiment"
)

// Names of the files that Write makes.
const (
	ResultFile = "result.json"
	PageFile   = "report.md"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// Write writes the result, the page and the plots into a directory, which it
// makes if need be. The same result gives the same files.
func Write(directory string, result experiment.Result) error {
	wrong := oops.In("report").With("step", "write", "directory", directory)
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return wrong.Wrap(err)
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		return wrong.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(directory, ResultFile), encoded, fileMode); err != nil {
		return wrong.Wrap(err)
	}
	figures, err := writeFigures(directory, &result)
	if err != nil {
		return wrong.Wrap(err)
	}
	page := Page(&result, figures)
	return wrong.Wrap(os.WriteFile(filepath.Join(directory, PageFile), page, fileMode))
}

// Read reads the result that Write wrote into a directory.
func Read(directory string) (experiment.Result, error) {
	wrong := oops.In("report").With("step", "read", "directory", directory)
	encoded, err := os.ReadFile(filepath.Join(directory, ResultFile))
	if err != nil {
		return experiment.Result{}, wrong.Wrap(err)
	}
	var result experiment.Result
	return result, wrong.Wrap(json.Unmarshal(encoded, &result))
}

// Figure is a plot of the page.
type Figure struct {
	Title string
	File  string
}

// Page is the Markdown page of a result, with links to its figures.
func Page(result *experiment.Result, figures []Figure) []byte {
	page := &bytes.Buffer{}
	writeHead(page, result)
	writeVerdicts(page, result)
	for _, figure := range figures {
		writeFigure(page, figure)
	}
	writeScenarios(page, result)
	return page.Bytes()
}
