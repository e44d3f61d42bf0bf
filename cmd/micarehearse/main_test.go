package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestSubcommandsHaveUniqueNamesAndDescriptions(t *testing.T) {
	seen := make(map[string]bool)
	for _, cmd := range commands() {
		sub := cmd.declare()
		if sub.Name == "" || sub.Description == "" || seen[sub.Name] {
			t.Errorf("subcommand %q has description %q, want a unique name and a description", sub.Name, sub.Description)
		}
		seen[sub.Name] = true
	}
}

func TestParseShards(t *testing.T) {
	if got, err := parseShards("0, 3,1"); err != nil || !slices.Equal(got, []int{0, 3, 1}) {
		t.Errorf("got %v with error %v, want [0 3 1]", got, err)
	}
	for _, invalid := range []string{"", "1,,2", "a"} {
		if _, err := parseShards(invalid); err == nil || !strings.Contains(err.Error(), "--shards") {
			t.Errorf("%q: got error %v, want one that names --shards", invalid, err)
		}
	}
}

func TestLeafCommandRejectsInvalidListenAddress(t *testing.T) {
	command := &leafCommand{}
	command.declare()
	command.listen, command.shards = "localhost:7101", "0"
	if _, err := command.config(); err == nil || !strings.Contains(err.Error(), "IP address") {
		t.Errorf("got error %v, want one that asks for an IP address", err)
	}
}

func TestReadSettingsRejectsUnknownKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.toml")
	if err := os.WriteFile(path, []byte("adress = \"127.0.0.1:1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var target struct {
		Address string `toml:"address"`
	}
	if err := readSettings(path, &target); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("got error %v, want one that names %s", err, path)
	}
}
