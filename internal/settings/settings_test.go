package settings_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"

	"github.com/micaplank/micaplank/internal/selfhosted/membership"
	"github.com/micaplank/micaplank/internal/settings"
)

const minimalFile = "name = \"node-a1\"\nzone = \"a\"\n"

// TestFileErrorsMatchGolden loads each testdata/*.toml, all of which contain mistakes, and compares
// the error with the .golden file of the same name.
func TestFileErrorsMatchGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("glob testdata/*.toml: got no files, error %v", err)
	}
	golden := goldie.New(t)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			_, err := settings.Load(file)
			var problems settings.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got error %v, want Problems", err)
			}
			golden.Assert(t, name, []byte(problems.Error()+"\n"))
		})
	}
}

func TestFlagsOverrideFile(t *testing.T) {
	var flags settings.Flags
	parser := flaggy.NewParser("micaplank")
	flags.Register(&parser.Subcommand)
	arguments := []string{"--zone", "b", "--seed", "127.0.0.1:1", "--seed", "127.0.0.1:2",
		"--set", "limits.concurrency=7", "--set", "limits.drain_timeout=3s", "--listen-http", "127.0.0.1:0"}
	if err := parser.ParseArgs(arguments); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.Parse("file", []byte(minimalFile+"[limits]\nconcurrency = 5\n"), flags.Overrides()...)
	if err != nil {
		t.Fatal(err)
	}
	if loaded.Name != "node-a1" || loaded.Zone != "b" || len(loaded.Peers.Seeds) != 2 ||
		loaded.Limits.Concurrency != 7 || loaded.Limits.DrainTimeout.String() != "3s" || loaded.Listen.HTTP.Port() != 0 {
		t.Fatalf("flags did not override the file: got %+v", loaded)
	}
}

func TestFlagErrorsMatchGolden(t *testing.T) {
	_, err := settings.Parse("file", []byte(minimalFile),
		settings.Override{Flag: "--set", Key: "limits.concurrency", Value: "many"},
		settings.Override{Flag: "--set", Key: "limits.concurency", Value: "1"},
		settings.Override{Flag: "--set", Key: "limits", Value: "1"},
		settings.Override{Flag: "--set", Key: "zone", Value: "\"b\"\nname = \"c\""},
		settings.Override{Flag: "--store", Key: "store.endpoints", Value: `["localhost:7001"]`})
	var problems settings.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got error %v, want Problems", err)
	}
	goldie.New(t).Assert(t, "flags", []byte(problems.Error()+"\n"))
}

func TestExampleFileIsCurrentAndLoads(t *testing.T) {
	var printed bytes.Buffer
	if err := settings.Print(&printed, settings.Example()); err != nil {
		t.Fatal(err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("../../examples"), goldie.WithNameSuffix(".toml"))
	golden.Assert(t, "micaplank", printed.Bytes())
	loaded, err := settings.Load("../../examples/micaplank.toml")
	if err != nil {
		t.Fatal(err)
	}
	var reprinted bytes.Buffer
	if err := settings.Print(&reprinted, loaded); err != nil || reprinted.String() != printed.String() {
		t.Fatalf("loading and printing the example changed it: error %v, got:\n%s", err, reprinted.String())
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	if _, err := settings.Load("testdata/none"); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("Load of a missing file: got error %v, want os.ErrNotExist", err)
	}
}

func TestMembershipDefaultsMatchPackage(t *testing.T) {
	defaults, packageDefaults := settings.Defaults().Membership, membership.DefaultConfig()
	same := defaults.ProbeInterval.Duration() == packageDefaults.ProbeInterval &&
		defaults.ProbeTimeout.Duration() == packageDefaults.ProbeTimeout &&
		defaults.IndirectProbes == packageDefaults.IndirectProbes &&
		defaults.SuspicionMultiplier == packageDefaults.SuspicionMultiplier &&
		defaults.SuspicionMaximumFactor == packageDefaults.SuspicionMaximumFactor &&
		defaults.GossipInterval.Duration() == packageDefaults.GossipInterval &&
		defaults.GossipFanout == packageDefaults.GossipFanout
	if !same {
		t.Fatalf("membership defaults = %+v, want those of package membership: %+v", defaults, packageDefaults)
	}
}

// FuzzSettings checks that every refused file results in Problems that state what is expected, and
// that Parse accepts the printed form of every accepted file.
func FuzzSettings(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.toml")
	for _, file := range append(files, "../../examples/micaplank.toml") {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add([]byte(minimalFile))
	f.Fuzz(func(t *testing.T, content []byte) {
		loaded, err := settings.Parse("fuzz.toml", content)
		var problems settings.Problems
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("Parse: got error %v, want Problems", err)
		}
		for _, problem := range problems {
			if problem.Expected == "" {
				t.Fatalf("problem without an expectation: %+v", problem)
			}
		}
		if err != nil {
			return
		}
		var printed bytes.Buffer
		if err := settings.Print(&printed, loaded); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Parse("printed.toml", printed.Bytes()); err != nil {
			t.Fatalf("Parse refused printed settings: %v\n%s", err, printed.String())
		}
	})
}

// TestNodeNamesAreVoterNames checks that a node name is accepted only if the command language
// accepts it as the name of a voter.
func TestNodeNamesAreVoterNames(t *testing.T) {
	for name, valid := range map[string]bool{
		"a": true, "node-a1": true, strings.Repeat("n", 63): true,
		"1a": false, "-a": false, "Node": false, "node.a": false, strings.Repeat("n", 64): false,
	} {
		if _, err := settings.Parse("file", []byte("name = \""+name+"\"\nzone = \"a\"\n")); (err == nil) != valid {
			t.Errorf("Parse with name %q: got error %v, want valid = %t", name, err, valid)
		}
	}
}
