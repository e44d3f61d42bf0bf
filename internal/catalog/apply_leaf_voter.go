package catalog

import (
	"maps"
	"net/netip"
	"slices"
)

// apply adds a new leaf or updates an existing one. Adding a retiring leaf clears Retiring and sets
// a new AddedAt. Updating an active leaf replaces its zone and shards and keeps its AddedAt,
// because the statement describes the leaf's configuration and does not report that the leaf
// returned. An update without a difference is refused with CodeUnchanged.
func (o *AddLeaf) apply(e *editor) error {
	service, err := e.lookupService(o.Service)
	if err != nil {
		return err
	}
	shards := slices.Clone(o.Shards)
	slices.Sort(shards)
	if last, count := shards[len(shards)-1], service.NewestPartition().Shards; last >= count {
		return newError(CodeUnknownShard, o.Service, "service %q has no shard %d: its shards are 0 to %d", o.Service, last, count-1)
	}
	addedAt := e.next.Revision
	existing, exists := service.Leaves[o.Address]
	if exists && !existing.Retiring {
		if existing.Zone == o.Zone && slices.Equal(existing.Shards, shards) {
			return newError(CodeUnchanged, o.Address.String(), "leaf %s of service %q already has this zone and these shards", o.Address, o.Service)
		}
		addedAt = existing.AddedAt
	}
	if !exists && len(service.Leaves) >= MaximumLeaves {
		return newError(CodeLimit, o.Service, "service %q already has the maximum of %d leaves", o.Service, MaximumLeaves)
	}
	service.Leaves = copyWith(service.Leaves, o.Address, Leaf{Address: o.Address, Zone: o.Zone, Shards: shards, AddedAt: addedAt})
	e.putService(service)
	return nil
}

func (o *RetireLeaf) apply(e *editor) error {
	names := e.findServicesWithLeaf(o.Address)
	if len(names) == 0 {
		return newUnknownLeafError(o.Address.String())
	}
	changed := false
	for _, name := range names {
		service := e.next.Services[name]
		leaf := service.Leaves[o.Address]
		if leaf.Retiring {
			continue
		}
		leaf.Retiring = true
		service.Leaves = copyWith(service.Leaves, o.Address, leaf)
		e.putService(service)
		changed = true
	}
	if !changed {
		return newError(CodeUnchanged, o.Address.String(), "leaf %s is already retiring", o.Address)
	}
	return nil
}

func (o *RemoveLeaf) apply(e *editor) error {
	names := e.findServicesWithLeaf(o.Address)
	if len(names) == 0 {
		return newUnknownLeafError(o.Address.String())
	}
	for _, name := range names {
		service := e.next.Services[name]
		if !service.Leaves[o.Address].Retiring {
			return newError(CodeInUse, o.Address.String(), "leaf %s must be retired first: service %q uses it", o.Address, name)
		}
		service.Leaves = copyWithout(service.Leaves, o.Address)
		e.putService(service)
	}
	return nil
}

func (o *AddVoter) apply(e *editor) error {
	existing, exists := e.next.Voters[o.Voter.Name]
	if exists && existing == o.Voter {
		return newError(CodeUnchanged, o.Voter.Name, "voter %q already exists", o.Voter.Name)
	}
	if exists {
		return newError(CodeDuplicate, o.Voter.Name, "voter %q already exists in zone %q", existing.Name, existing.Zone)
	}
	if len(e.next.Voters) >= MaximumVoters {
		return newError(CodeLimit, o.Voter.Name, "the catalog already has the maximum of %d voters", MaximumVoters)
	}
	e.next.Voters = copyWith(e.next.Voters, o.Voter.Name, o.Voter)
	e.next.VotersRevision = e.next.Revision
	return nil
}

func (o *RemoveVoter) apply(e *editor) error {
	if _, exists := e.next.Voters[o.Name]; !exists {
		return newError(CodeUnknownVoter, o.Name, "there is no voter %q", o.Name)
	}
	if len(e.next.Voters) == 1 {
		return newError(CodeInUse, o.Name, "voter %q is the last voter and cannot be removed", o.Name)
	}
	e.next.Voters = copyWithout(e.next.Voters, o.Name)
	e.next.VotersRevision = e.next.Revision
	return nil
}

// restrictShards returns a copy of the leaves in which each leaf lists only shards below count.
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
