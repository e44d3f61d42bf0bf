package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// runVariable is the environment variable that makes the test binary run as micactl.
const runVariable = "MICACTL_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// runProgram runs micactl and returns a transcript with its output and exit code.
func runProgram(t *testing.T, input string, arguments ...string) string {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	// By default, the race detector sleeps for a second at the exit of each process.
	command.Env = []string{runVariable + "=1", "USER=mori", "GORACE=atexit_sleep_ms=0"}
	command.Stdin = strings.NewReader(input)
	output, err := command.CombinedOutput()
	var exitError *exec.ExitError
	if err != nil && !errors.As(err, &exitError) {
		t.Fatal(err)
	}
	return fmt.Sprintf("$ micactl %s\n%sexit %d\n\n", strings.Join(arguments, " "), output, command.ProcessState.ExitCode())
}

func TestHelpGolden(t *testing.T) {
	transcript := runProgram(t, "", "--help")
	for _, cmd := range commands() {
		transcript += runProgram(t, "", cmd.declare().Name, "--help")
	}
	goldie.New(t).Assert(t, "help", []byte(transcript))
}

func TestUsageGolden(t *testing.T) {
	// No process listens on port 1 of the loopback address, so connections are refused.
	cases := [][]string{
		{"--version"},
		{"bogus"},
		{"apply"},
		{"status", "--bogus"},
		{"status", "--timeout", "soon"},
		{"status", "--timeout", "0s"},
		{"status", "--node", "localhost:7201"},
		{"status", "--output", "xml"},
		{"status", "--node", "127.0.0.1:1"},
		{"query", "rate-desk", "select * from rate-desk"},
		{"exec", "stop service x", "--file", "x"},
		{"exec", "--file", "missing.mica"},
		{"exec"},
		{"show", "leaves", "from", "rate-desk"},
		{"completion"},
		{"completion", "fish"},
	}
	var transcript strings.Builder
	for _, arguments := range cases {
		transcript.WriteString(runProgram(t, "stop servce x\n", arguments...))
	}
	goldie.New(t).Assert(t, "usage", []byte(transcript.String()))
}

// TestCompletionGolden runs the completion script in bash, and records the completions of the last
// word of each line.
func TestCompletionGolden(t *testing.T) {
	script := runCompletion(t, "bash")
	lines := []string{
		"", "st", "--ti", "--output ", "--output json st", "exec --", "exec --file main_t", "exec -f x --dry",
		"apply main_", "apply --", "show ", "show l", "show leaves ", "status --ou", "watch --", "watch --interval ",
		"query rate-desk --", "drain --no", "completion ",
	}
	var transcript strings.Builder
	for _, line := range lines {
		words := strings.Split(line, " ")
		quoted := "micactl"
		for _, word := range words {
			quoted += fmt.Sprintf(" %q", word)
		}
		shell := exec.Command("bash", "--norc", "-c", fmt.Sprintf("%s\nCOMP_WORDS=(%s); COMP_CWORD=%d; _micactl; echo ${COMPREPLY[@]}", script, quoted, len(words)))
		shell.Env = []string{"PATH=" + os.Getenv("PATH")}
		output, err := shell.CombinedOutput()
		if err != nil {
			t.Fatalf("%s: %v\n%s", line, err, output)
		}
		fmt.Fprintf(&transcript, "> micactl %s\n%s", line, output)
	}
	goldie.New(t).Assert(t, "completion", []byte(transcript.String()))
}

func TestZshCompletionWrapsBashScript(t *testing.T) {
	script, found := strings.CutPrefix(runCompletion(t, "zsh"), "autoload -U +X bashcompinit && bashcompinit\n")
	if !found || script != runCompletion(t, "bash") {
		t.Errorf("got script %q, want the header of zsh followed by the script of bash", script)
	}
}

func runCompletion(t *testing.T, shell string) string {
	t.Helper()
	transcript := runProgram(t, "", "completion", shell)
	_, script, _ := strings.Cut(transcript, "\n")
	script, found := strings.CutSuffix(script, "exit 0\n\n")
	if !found {
		t.Fatalf("got transcript %q, want exit code 0", transcript)
	}
	return script
}
