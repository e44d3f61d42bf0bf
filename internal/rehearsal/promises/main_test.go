package promises

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// binaryDir is the directory of the programs under test.
var binaryDir string

// deploymentSlots limits the deployments that run concurrently.
var deploymentSlots = make(chan struct{}, 2)

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "micaplank-promises-")
	if err != nil {
		fmt.Fprintf(os.Stderr, "create the directory of the programs: %v\n", err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(os.PathSeparator),
		"github.com/micaplank/micaplank/cmd/micaplank", "github.com/micaplank/micaplank/cmd/micarehearse")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build micaplank and micarehearse: %v\n%s", err, output)
		return 1
	}
	binaryDir = dir
	return m.Run()
}
