package catalog

import (
	"maps"
	"net/netip"
	"slices"
)

// apply adds a leaf that is new. A retiring leaf is added again and gets a new
// AddedAt, which clears the mark that it is leaving. A leaf in use gets the new
// zone and shards and keeps its AddedAt: the statement says what the leaf is to
// hold, not that it has come back. A leaf in use that is so already is refused
// with CodeUnchanged.
func (o *AddLeaf) apply(e *editor) error {
	service, err := e.service(o.Service)
	if err != nil {
		return err
	}
	shards := slices.Clone(o.Shards)
	slices.Sort(shards)
	if last, count := shards[len(shards)-1], service.Newest().Shards; last >= count {
		return refuse(CodeUnknownShard, o.Service, "service %q has no shard %d: its shards are 0 to %d", o.Service, last, count-1)
	}
	addedAt := e.next.Revision
	existing, found := service.Leaves[o.Address]
	if found && !existing.Retiring {
		if existing.Zone == o.Zone && slices.Equal(existing.Shards, shards) {
			return refuse(CodeUnchanged, o.Address.String(), "leaf %s of service %q is so already", o.Address, o.Service)
		}
		addedAt = existing.AddedAt
	}
	if !found && len(service.Leaves) >= MaximumLeaves {
		return refuse(CodeLimit, o.Service, "service %q has %d leaves already, which is the limit", o.Service, MaximumLeaves)
	}
	service.Leaves = with(service.Leaves, o.Address, Leaf{Address: o.Address, Zone: o.Zone, Shards: shards, AddedAt: addedAt})
	e.putService(service)
	return nil
}

func (o *RetireLeaf) apply(e *editor) error {
	names := e.servicesWithLeaf(o.Address)
	if len(names) == 0 {
		return unknownLeaf(o.Address.String())
	}
	changed := false
	for _, name := range names {
		service := e.next.Services[name]
		leaf := service.Leaves[o.Address]
		if leaf.Retiring {
			continue
		}
		leaf.Retiring = true
		service.Leaves = with(service.Leaves, o.Address, leaf)
		e.putService(service)
		changed = true
	}
	if !changed {
		return refuse(CodeUnchanged, o.Address.String(), "leaf %s is retiring already", o.Address)
	}
	return nil
}

func (o *RemoveLeaf) apply(e *editor) error {
	names := e.servicesWithLeaf(o.Address)
	if len(names) == 0 {
		return unknownLeaf(o.Address.String())
	}
	for _, name := range names {
		service := e.next.Services[name]
		if !service.Leaves[o.Address].Retiring {
			return refuse(CodeInUse, o.Address.String(), "leaf %s must be retired first: service %q uses it", o.Address, name)
		}
		service.Leaves = without(service.Leaves, o.Address)
		e.putService(service)
	}
	return nil
}

func (o *AddVoter) apply(e *editor) error {
	existing, found := e.next.Voters[o.Voter.Name]
	if found && existing == o.Voter {
		return refuse(CodeUnchanged, o.Voter.Name, "voter %q is there already", o.Voter.Name)
	}
	if found {
		return refuse(CodeDuplicate, o.Voter.Name, "there is a voter %q in zone %q", existing.Name, existing.Zone)
	}
	if len(e.next.Voters) >= MaximumVoters {
		return refuse(CodeLimit, o.Voter.Name, "there are %d voters already, which is the limit", MaximumVoters)
	}
	e.next.Voters = with(e.next.Voters, o.Voter.Name, o.Voter)
	e.next.VotersRevision = e.next.Revision
	return nil
}

func (o *RemoveVoter) apply(e *editor) error {
	if _, found := e.next.Voters[o.Name]; !found {
		return refuse(CodeUnknownVoter, o.Name, "there is no voter %q", o.Name)
	}
	if len(e.next.Voters) == 1 {
		return refuse(CodeInUse, o.Name, "voter %q is the last one and stays", o.Name)
	}
	e.next.Voters = without(e.next.Voters, o.Name)
	e.next.VotersRevision = e.next.Revision
	return nil
}

// restrictShards returns a copy of the leaves without the shards from count on.
func restrictShards(leaves map[netip.AddrPort]Leaf, count int) map[netip.AddrPort]Leaf {
	restricted := maps.Clone(leaves)
	for address, leaf := range restricted {
		kept := make([]int, 0, len(leaf.Shards))
		for _, shard := range leaf.Shards {
			if shard < count {
				kept = append(kept, shard)
			}
		}
		leaf.Shards = kept
		restricted[address] = leaf
	}
	return restricted
}
