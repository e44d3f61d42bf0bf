package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// drainPollInterval is the time between two status requests while a node drains.
const drainPollInterval = 250 * time.Millisecond

// Drain starts the planned stop of a node and waits until the node has stopped.
func (s *Session) Drain(ctx context.Context, node string) error {
	response, err := s.Client.Drain(ctx, node)
	if err != nil {
		return err
	}
	var reachable bool
	response.State, reachable = s.waitUntilGone(ctx, node)
	if s.Format == FormatJSON {
		if err := s.writeJSON(response); err != nil {
			return err
		}
	} else if reachable {
		s.printf("node %s is %s\n", node, response.State)
	} else {
		s.printf("node %s took the command; none of the nodes asked can be reached any more\n", node)
	}
	if response.State != api.NodeGone {
		return fmt.Errorf("node %s has not stopped within %s; it takes no new work", node, s.Timeout)
	}
	return nil
}

// waitUntilGone polls the status until the node is gone or the timeout expires. It also
// returns NodeGone if no connection to any node can be established, since the drained node
// may be the only one in the list. reachable is false in that case.
func (s *Session) waitUntilGone(ctx context.Context, node string) (state api.NodeState, reachable bool) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	for {
		status, err := s.Client.Status(ctx)
		var unreachable *UnreachableError
		switch {
		case ctx.Err() != nil:
			return api.NodeLeaving, true
		case err == nil && findNodeState(status, node) == api.NodeGone:
			return api.NodeGone, true
		case errors.As(err, &unreachable) && !unreachable.Sent:
			return api.NodeGone, false
		case !clock.Sleep(ctx, drainPollInterval):
			return api.NodeLeaving, true
		}
	}
}

// findNodeState returns the state of a node. A node that is not listed is gone.
func findNodeState(status *api.StatusResponse, name string) api.NodeState {
	for _, node := range status.Nodes {
		if node.Name == name {
			return node.State
		}
	}
	return api.NodeGone
}
