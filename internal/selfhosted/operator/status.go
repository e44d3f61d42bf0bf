package operator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/micaplank/micaplank/internal/clock"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// Status writes the status of the deployment as one node knows it.
func (s *Session) Status(ctx context.Context) error {
	status, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	if s.Format == FormatJSON {
		return s.writeJSON(status)
	}
	s.writeStatus(status)
	return nil
}

// Watch writes the status count times at the given interval, or until ctx ends if count is 0.
// A failed status request is written as well and does not end Watch, which returns the error
// of the last request.
func (s *Session) Watch(ctx context.Context, interval time.Duration, count int) error {
	if interval <= 0 || count < 0 {
		return usageErrorf("--interval must be more than 0s and --count at least 0")
	}
	var lastErr error
	for shown := 0; count == 0 || shown < count; shown++ {
		if shown > 0 && !clock.Sleep(ctx, interval) {
			return nil
		}
		lastErr = s.writeWatchedStatus(ctx)
		if lastErr == nil {
			continue
		}
		if s.Format == FormatText {
			s.printf("--- %s\nno status: %v\n\n", s.now().Format(time.TimeOnly), lastErr)
			continue
		}
		s.errorWritten = false
		lastErr = s.Finish(lastErr)
		s.errorWritten = true
	}
	return lastErr
}

// writeWatchedStatus requests the status once and writes it.
func (s *Session) writeWatchedStatus(ctx context.Context) error {
	status, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	if s.Format == FormatJSON {
		return s.writeJSONLine(status)
	}
	s.printf("--- %s\n", s.now().Format(time.TimeOnly))
	s.writeStatus(status)
	s.printf("\n")
	return nil
}

func (s *Session) writeStatus(status *api.StatusResponse) {
	freshness := "fresh"
	if !status.Fresh {
		freshness = "NOT FRESH: the answering node cannot show that it holds everything accepted"
	}
	s.printf("revision %d, %s\n", status.Revision, freshness)
	s.printf("%s\n", describeMembers(status))
	s.printf("%s\n\n", describeVoters(status.Voters))
	s.writeNodes(status.Nodes)
	if len(status.Services) > 0 {
		s.printf("\n")
		s.writeServices(status.Services)
	}
	if len(status.Leaves) > 0 {
		s.printf("\n")
		s.writeLeaves(status.Leaves)
	}
}

// describeMembers returns the number of members that hold the newest known revision, and the
// names of the others. Nodes that are gone are not counted.
func describeMembers(status *api.StatusResponse) string {
	newest, members, holders := status.Revision, 0, 0
	for _, node := range status.Nodes {
		newest = max(newest, node.Revision)
	}
	var missing []string
	for _, node := range status.Nodes {
		if node.State == api.NodeGone {
			continue
		}
		members++
		if node.Revision >= newest {
			holders++
			continue
		}
		missing = append(missing, fmt.Sprintf("%s (at %d)", node.Name, node.Revision))
	}
	text := fmt.Sprintf("revision %d in force on %d of %d members", newest, holders, members)
	if len(missing) > 0 {
		text += ", missing: " + strings.Join(missing, ", ")
	}
	return text
}

// describeVoters returns the number of voters that are up, the number that a change needs,
// and the names of the others. A voter that left the membership remains in the voting set, so
// it counts for the majority.
func describeVoters(voters []api.VoterStatus) string {
	if len(voters) == 0 {
		return "no voters: the store alone accepts changes"
	}
	var missing []string
	for _, voter := range voters {
		if voter.State != api.NodeAlive {
			missing = append(missing, fmt.Sprintf("%s (%s)", voter.Name, voter.State))
		}
	}
	up, needed := len(voters)-len(missing), len(voters)/2+1
	text := fmt.Sprintf("%d of %d voters up, %d needed", up, len(voters), needed)
	if len(missing) > 0 {
		text += ", missing: " + strings.Join(missing, ", ")
	}
	if up < needed {
		text += "; NO MAJORITY: no change is accepted, and nodes serve only while they can read the store"
	}
	return text
}

func (s *Session) writeNodes(nodes []api.NodeStatus) {
	lines := make([][]string, len(nodes))
	for i, node := range nodes {
		lines[i] = []string{
			node.Name, node.Zone, node.Address, string(node.State),
			strconv.FormatUint(node.Incarnation, 10), strconv.FormatUint(node.Revision, 10),
			formatYesNo(node.Voter), formatYesNo(node.Serving),
		}
	}
	writeTable(s.Output, []string{"NODE", "ZONE", "ADDRESS", "STATE", "INCARNATION", "REVISION", "VOTER", "SERVING"}, lines)
}

func (s *Session) writeServices(services []api.ServiceStatus) {
	lines := make([][]string, len(services))
	for i, service := range services {
		state := "started"
		if service.Stopped {
			state = "stopped"
		}
		snapshot := "none"
		if service.Snapshot.Epoch > 0 {
			snapshot = fmt.Sprintf("version %d, epoch %d", service.Snapshot.Version, service.Snapshot.Epoch)
		}
		lines[i] = []string{
			service.Name, state, strconv.Itoa(service.Shards), strconv.FormatUint(service.Epoch, 10), snapshot,
			strconv.Itoa(service.Classes), strconv.Itoa(service.Leaves),
		}
	}
	writeTable(s.Output, []string{"SERVICE", "STATE", "SHARDS", "EPOCH", "SNAPSHOT", "CLASSES", "LEAVES"}, lines)
}

func (s *Session) writeLeaves(leaves []api.LeafStatus) {
	lines := make([][]string, len(leaves))
	for i, leaf := range leaves {
		lines[i] = []string{
			leaf.Service, leaf.Address, leaf.Zone, string(leaf.State), formatShardRanges(leaf.Shards),
			strconv.Itoa(leaf.InFlight), strconv.Itoa(leaf.Limit), leaf.Reason,
		}
	}
	writeTable(s.Output, []string{"SERVICE", "LEAF", "ZONE", "STATE", "SHARDS", "IN FLIGHT", "LIMIT", "REASON"}, lines)
}
