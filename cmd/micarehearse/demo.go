package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
)

// demoTimeout limits the duration of the whole demo.
const demoTimeout = 2 * time.Minute

// stopTimeout limits the planned stop of all nodes at the end of the demo.
const stopTimeout = 20 * time.Second

// demoCommand starts a deployment on loopback, runs some queries on it and stops it.
type demoCommand struct {
	binaries string
}

func (d *demoCommand) declare() *flaggy.Subcommand {
	d.binaries = "bin"
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "Run a deployment on loopback, ask it some queries and stop it."
	sub.String(&d.binaries, "", "binaries", "Folder of the programs.")
	return sub
}

func (d *demoCommand) run(ctx context.Context, _ *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	plan := cluster.NewDemoPlan(d.binaries)
	fmt.Println("Starting the store, the machine list, 16 leaves and 3 nodes on loopback.")
	deployment, err := cluster.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer deployment.Close()
	if err := d.showStatus(ctx, deployment); err != nil {
		return err
	}
	if err := deployment.RunDemo(ctx, os.Stdout); err != nil {
		return err
	}
	return stopNodes(ctx, deployment)
}

// showStatus runs "micactl status" on the first node.
func (d *demoCommand) showStatus(ctx context.Context, deployment *cluster.Cluster) error {
	arguments := []string{"--node", deployment.Nodes[0].HTTP.String(), "status"}
	fmt.Println("\n$ micactl", strings.Join(arguments, " "))
	status := exec.CommandContext(ctx, filepath.Join(d.binaries, "micactl"), arguments...)
	status.Stdout = os.Stdout
	status.Stderr = os.Stderr
	return status.Run()
}

// stopNodes requests a planned stop of each node, and returns an error for each exit code other
// than 0.
func stopNodes(ctx context.Context, deployment *cluster.Cluster) error {
	fmt.Println("\nStopping the nodes.")
	var failures []error
	for _, node := range deployment.Nodes {
		if err := node.Terminate(); err != nil {
			failures = append(failures, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, node := range deployment.Nodes {
		if code := node.Wait(ctx); code != 0 {
			failures = append(failures, fmt.Errorf("%s ended with exit code %d", node.Name, code))
		}
	}
	return errors.Join(failures...)
}
