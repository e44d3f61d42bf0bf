package cluster

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// readyPollInterval is the time between two readiness requests to a node.
const readyPollInterval = 20 * time.Millisecond

// AwaitReady blocks until the readiness endpoint of every node reports that the node accepts
// queries.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, node := range c.Nodes {
		if err := c.awaitNodeReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) awaitNodeReady(ctx context.Context, node *Node) error {
	for !c.isReady(ctx, node) {
		select {
		case <-ctx.Done():
			return oops.With("step", "await ready", "peer", node.Name).Errorf("%s is not ready\n%s", node.Name, node.Log())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (c *Cluster) isReady(ctx context.Context, node *Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.HTTP.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
