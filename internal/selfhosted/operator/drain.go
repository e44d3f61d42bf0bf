package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// drainPoll is the time between two looks at a node that drains.
const drainPollInterval = 250 * time.Millisecond

// Drain starts the planned stop of a node and waits until it is gone.
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

// awaitGone polls the status until the node is gone or the timeout is over. It
// also ends when no node can be reached: if the node was the only one to be
// asked, it has stopped; seen is then false.
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

// stateOf returns the state of a node; one that is not listed is gone.
func findNodeState(status *api.StatusResponse, name string) api.NodeState {
	for _, node := range status.Nodes {
		if node.Name == name {
			return node.State
		}
	}
	return api.NodeGone
}
