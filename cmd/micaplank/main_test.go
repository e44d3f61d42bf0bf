package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// runVariable is the environment variable that makes the test binary run as micaplank.
const runVariable = "MICAPLANK_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// runProgram runs micaplank and returns a transcript with its output and exit code.
func runProgram(t *testing.T, arguments ...string) string {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	// By default, the race detector sleeps for a second at the exit of each process.
	command.Env = []string{runVariable + "=1", "GORACE=atexit_sleep_ms=0"}
	output, err := command.CombinedOutput()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return fmt.Sprintf("$ micaplank %s\n%sexit %d\n\n", strings.Join(arguments, " "), output, command.ProcessState.ExitCode())
}

// assertGolden compares the transcript of several commands with a golden file.
func assertGolden(t *testing.T, name string, commands [][]string) {
	t.Helper()
	var transcript strings.Builder
	for _, arguments := range commands {
		transcript.WriteString(runProgram(t, arguments...))
	}
	goldie.New(t).Assert(t, name, []byte(transcript.String()))
}

func TestHelpGolden(t *testing.T) {
	assertGolden(t, "help", [][]string{{"--help"}, {"--version"}})
}

// TestPrintSettingsGolden covers the defaults, which are printed although name and zone have none,
// and settings from a file that are overridden by flags.
func TestPrintSettingsGolden(t *testing.T) {
	assertGolden(t, "print_settings", [][]string{
		{"--print-settings"},
		{"--print-settings", "--settings", "testdata/valid.toml", "--zone", "b", "--set", "limits.drain_timeout=1m"},
	})
}

// TestInvalidSettingsExitWithUsageError checks that invalid settings are reported with exit code 2
// and that no node is started.
func TestInvalidSettingsExitWithUsageError(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong_*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("list testdata/wrong_*.toml: got %d files and error %v, want at least one file", len(files), err)
	}
	commands := [][]string{
		{"--check-settings", "--settings", "testdata/valid.toml"},
		{"--check-settings"},
		{"--check-settings", "--settings", "testdata/missing.toml"},
		{"--check-settings", "--settings", "testdata/valid.toml", "--listen-http", "localhost:7201"},
		{"--check-settings", "--settings", "testdata/valid.toml", "--set", "limits.body_bytes=big"},
		{"--check-settings", "--settings", "testdata/valid.toml", "--set", "limits"},
		{"--check-settings", "--bogus"},
		{"bogus"},
		{"--print-settings", "--settings", files[0]},
	}
	for _, file := range files {
		commands = append(commands, []string{"--check-settings", "--settings", file}, []string{"--settings", file})
	}
	assertGolden(t, "wrong", commands)
}
