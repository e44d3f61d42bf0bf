package settings

import (
	"strings"

	"github.com/integrii/flaggy"
)

// Override is a key and its value from a command-line flag.
type Override struct {
	// Flag is the flag's name in errors, such as "--zone".
	Flag string
	Key  string
	// Value is a TOML value. For a text, the quotes may be omitted.
	Value string
}

// applyOverride sets one key. If the value is not valid TOML of the key's type, applyOverride
// retries the value as a quoted TOML string.
func (l *loader) applyOverride(override Override) {
	origin := Origin{Flag: override.Flag}
	settingsField, exists := findField(override.Key)
	if !exists || settingsField.table {
		expected := "a key of the table, such as " + override.Key + ".KEY"
		if !exists {
			expected = describeValidKeys(override.Key)
		}
		l.addProblem(origin, override.Key, expected, "")
		return
	}
	for _, value := range []string{override.Value, quoteTOML(override.Value)} {
		if strings.ContainsAny(value, "\n\r") {
			continue
		}
		updated := l.settings
		if decodeStrict(override.Key+" = "+value+"\n", &updated) == nil {
			l.settings = updated
			l.origins[override.Key] = origin
			return
		}
	}
	value := override.Value
	if !strings.HasPrefix(value, `"`) && !strings.HasPrefix(value, "[") {
		value = quoteTOML(value)
	}
	l.addProblem(origin, override.Key, settingsField.expected, value)
}

var tomlEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`, "\r", `\r`)

// quoteTOML returns the text as a TOML string.
func quoteTOML(text string) string {
	return `"` + tomlEscaper.Replace(text) + `"`
}

// Flags holds the command-line flags of a node process that override the settings file. Call
// Register before the command line is parsed, and pass the result of Overrides to Load afterwards.
type Flags struct {
	name, zone, region, advertise      string
	listenHTTP, listenPeer             string
	machines, logFormat, logLevel      string
	seeds, storeEndpoints, assignments []string
}

// Register adds the flags to a command.
func (f *Flags) Register(command *flaggy.Subcommand) {
	command.String(&f.name, "", "name", "Slot of this node (name).")
	command.String(&f.zone, "", "zone", "Zone of this machine (zone).")
	command.String(&f.region, "", "region", "Region of this machine (region).")
	command.String(&f.advertise, "", "advertise", "IP address at which other nodes reach this one (advertise).")
	command.String(&f.listenHTTP, "", "listen-http", "Address for callers and operators (listen.http).")
	command.String(&f.listenPeer, "", "listen-peer", "Address for other nodes (listen.peer).")
	command.StringSlice(&f.seeds, "", "seed", "Peer address of another node; may be repeated (peers.seeds).")
	command.StringSlice(&f.storeEndpoints, "", "store", "Address of the configuration store; may be repeated (store.endpoints).")
	command.String(&f.machines, "", "machines", "Address of the machine list (machines.address).")
	command.String(&f.logFormat, "", "log-format", "text or json (log.format).")
	command.String(&f.logLevel, "", "log-level", "debug, info, warn or error (log.level).")
	command.StringSlice(&f.assignments, "", "set", "Any setting, as key=value, such as limits.concurrency=100; may be repeated.")
}

// Overrides returns the values of the flags that are set.
func (f *Flags) Overrides() []Override {
	var overrides []Override
	addString := func(flag, key, value string) {
		if value != "" {
			overrides = append(overrides, Override{Flag: flag, Key: key, Value: quoteTOML(value)})
		}
	}
	addList := func(flag, key string, values []string) {
		if len(values) > 0 {
			overrides = append(overrides, Override{Flag: flag, Key: key, Value: formatTOMLList(values)})
		}
	}
	addString("--name", "name", f.name)
	addString("--zone", "zone", f.zone)
	addString("--region", "region", f.region)
	addString("--advertise", "advertise", f.advertise)
	addString("--listen-http", "listen.http", f.listenHTTP)
	addString("--listen-peer", "listen.peer", f.listenPeer)
	addList("--seed", "peers.seeds", f.seeds)
	addList("--store", "store.endpoints", f.storeEndpoints)
	addString("--machines", "machines.address", f.machines)
	addString("--log-format", "log.format", f.logFormat)
	addString("--log-level", "log.level", f.logLevel)
	for _, assignment := range f.assignments {
		key, value, _ := strings.Cut(assignment, "=")
		overrides = append(overrides, Override{Flag: "--set", Key: strings.TrimSpace(key), Value: strings.TrimSpace(value)})
	}
	return overrides
}

// formatTOMLList returns the values as a TOML array of strings.
func formatTOMLList(values []string) string {
	quoted := make([]string, 0, len(values))
	for _, value := range values {
		quoted = append(quoted, quoteTOML(value))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
