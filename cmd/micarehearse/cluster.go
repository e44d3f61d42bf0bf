package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/integrii/flaggy"

	"github.com/micaplank/micaplank/internal/rehearsal/cluster"
)

// clusterCommand runs the deployment of the demo for a given duration.
type clusterCommand struct {
	binaries string
	duration time.Duration
	profiles string
}

func (c *clusterCommand) declare() *flaggy.Subcommand {
	c.binaries, c.duration = "bin", time.Minute
	sub := flaggy.NewSubcommand("cluster")
	sub.Description = "Run the deployment of the demo on loopback for a while, to try commands and load."
	sub.String(&c.binaries, "", "binaries", "Folder of the programs.")
	sub.Duration(&c.duration, "", "duration", "How long it runs.")
	sub.String(&c.profiles, "", "profiles", "Folder for a processor profile of each node, written at its planned stop.")
	return sub
}

func (c *clusterCommand) run(ctx context.Context, _ *slog.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, c.duration)
	defer cancel()
	plan := cluster.NewDemoPlan(c.binaries)
	plan.ProfileDirectory = c.profiles
	deployment, err := cluster.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer deployment.Close()
	for _, node := range deployment.Nodes {
		fmt.Printf("node %s http %s peer %s process %d\n", node.Name, node.HTTP, node.Peer, node.ProcessID())
	}
	fmt.Printf("store %s\nmachine list %s\n", deployment.Store.HTTP, deployment.Machines.HTTP)
	for _, leaf := range deployment.Leaves {
		fmt.Printf("leaf of %s http %s process %d\n", leaf.Service, leaf.HTTP, leaf.ProcessID())
	}
	<-ctx.Done()
	return stopNodes(context.WithoutCancel(ctx), deployment)
}
