package promises

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaries is the folder of the programs under test.
var binaries string

// deployments bounds how many deployments run at once.
var deployments = make(chan struct{}, 2)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "micaplank-promises-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	build := exec.Command("go", "build", "-o", folder+string(os.PathSeparator),
		"github.com/micaplank/micaplank/cmd/micaplank", "github.com/micaplank/micaplank/cmd/micarehearse")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	binaries = folder
	return m.Run()
}
