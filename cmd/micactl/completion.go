package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/selfhosted/language"
	"github.com/micaplank/micaplank/internal/selfhosted/operator"
)

// completionCommand writes a shell completion script. It replaces the script of the flag library,
// which completes the flags of a command only directly after the name of the command, and offers
// the names of arguments as values.
type completionCommand struct {
	shell string
	root  *flaggy.Subcommand
}

func (c *completionCommand) declare() *flaggy.Subcommand {
	subcommand := newSubcommand("completion", "Write a completion script for bash or zsh: source <(micactl completion bash).")
	subcommand.AddPositionalValue(&c.shell, "SHELL", 1, true, "bash or zsh.")
	return subcommand
}

func (c *completionCommand) run(_ context.Context, session *operator.Session) error {
	switch c.shell {
	case "zsh":
		fmt.Fprint(session.Output, "autoload -U +X bashcompinit && bashcompinit\n", completionScript(c.root))
	case "bash":
		fmt.Fprint(session.Output, completionScript(c.root))
	default:
		return &operator.UsageError{Message: fmt.Sprintf("%q is no shell that can be completed for: bash or zsh is expected", c.shell)}
	}
	return nil
}

// completionWords maps flags and commands to the shell expression that lists the completions of
// the flag value or of the command arguments. Flags and commands that are not listed have no
// completions.
var completionWords = map[string]string{
	"--output":   `$(compgen -W "text json" -- "$cur")`,
	"--file":     `$(compgen -f -- "$cur")`,
	"--class":    `$(compgen -W "$(_micactl_column 2 classes)" -- "$cur")`,
	"apply":      `$(compgen -f -- "$cur")`,
	"show":       `$(compgen -W "` + strings.Join(showSubjects(), " ") + `" -- "$cur")`,
	"drain":      `$(compgen -W "$(_micactl_column 1 nodes)" -- "$cur")`,
	"query":      `$(compgen -W "$(_micactl_column 1 services)" -- "$cur")`,
	"completion": `$(compgen -W "bash zsh" -- "$cur")`,
}

// showSubjects returns the words that may follow "show".
func showSubjects() []string {
	subjects := []language.ShowSubject{
		language.ShowServices, language.ShowLeaves, language.ShowClasses,
		language.ShowChanges, language.ShowVoters, language.ShowNodes,
	}
	words := make([]string, len(subjects))
	for i, subject := range subjects {
		words[i] = string(subject)
	}
	return append(words, "of")
}

// completionScript returns the completion script for bash. The script queries the names of nodes,
// services and classes from the nodes in MICAPLANK_NODES, with a timeout of one second.
func completionScript(root *flaggy.Subcommand) string {
	names := commandNames(root)
	var script strings.Builder
	fmt.Fprintf(&script, `_micactl_column() {
    micactl --timeout 1s show "$2" 2>/dev/null | awk -v column="$1" 'NR > 1 { print $column }' | sort -u
}
_micactl() {
    local cur prev command word
    cur="${COMP_WORDS[COMP_CWORD]}"
    prev="${COMP_WORDS[COMP_CWORD-1]}"
    COMPREPLY=()
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case "$word" in
            %s) command="$word"; break ;;
        esac
    done
    case "$prev" in
%s    esac
    case "$command" in
%s        *) COMPREPLY=( $(compgen -W "%s" -- "$cur") ) ;;
    esac
}
complete -F _micactl micactl
`, strings.Join(names, "|"), flagValueCases(root), commandCases(root), strings.Join(append(names, flagNames(root)...), " "))
	return script.String()
}

func commandNames(root *flaggy.Subcommand) []string {
	var names []string
	for _, subcommand := range root.Subcommands {
		names = append(names, subcommand.Name)
	}
	return names
}

func flagNames(subcommand *flaggy.Subcommand) []string {
	var names []string
	for _, flag := range subcommand.Flags {
		names = append(names, "--"+flag.LongName)
		if flag.ShortName != "" {
			names = append(names, "-"+flag.ShortName)
		}
	}
	return names
}

// flagValueCases returns the cases that complete the values of flags. Only long names are
// completed, because a short name may have different meanings in different commands.
func flagValueCases(root *flaggy.Subcommand) string {
	flags := slices.Clone(root.Flags)
	for _, subcommand := range root.Subcommands {
		flags = append(flags, subcommand.Flags...)
	}
	var cases strings.Builder
	for _, flag := range flags {
		if _, isSwitch := flag.AssignmentVar.(*bool); isSwitch {
			continue
		}
		long := "--" + flag.LongName
		fmt.Fprintf(&cases, "        %s) COMPREPLY=( %s ); return ;;\n", long, completionWords[long])
	}
	return cases.String()
}

// commandCases returns the cases that complete the flags and arguments of each command.
func commandCases(root *flaggy.Subcommand) string {
	var cases strings.Builder
	for _, subcommand := range root.Subcommands {
		flags := strings.Join(append(flagNames(subcommand), flagNames(root)...), " ")
		fmt.Fprintf(&cases, "        %s)\n            if [[ \"$cur\" == -* ]]; then COMPREPLY=( $(compgen -W \"%s\" -- \"$cur\") )\n            else COMPREPLY=( %s ); fi ;;\n",
			subcommand.Name, flags, completionWords[subcommand.Name])
	}
	return cases.String()
}
