package language

import (
	"strings"

	"github.com/micaplank/micaplank/internal/catalog"
)

// DefaultExtraLoad is the share of extra attempts of a class that names none.
const DefaultExtraLoad = 0.03

func (c *converter) command(node *changeNode) catalog.Command {
	switch {
	case node.CreateService != nil:
		return catalog.Command{CreateService: c.createService(node.CreateService)}
	case node.DropService != nil:
		return catalog.Command{DropService: &catalog.DropService{Name: c.name(*node.DropService)}}
	case node.DropClass != nil:
		return catalog.Command{DropClass: &catalog.DropClass{Service: c.name(node.DropClass.Service), Name: c.name(node.DropClass.Name)}}
	case node.Repartition != nil:
		return catalog.Command{Repartition: &catalog.Repartition{Service: c.name(node.Repartition.Service), Shards: c.whole(node.Repartition.Shards)}}
	case node.DefineClass != nil:
		return catalog.Command{DefineClass: &catalog.DefineClass{Class: c.class(node.DefineClass)}}
	case node.Limit != nil:
		return catalog.Command{LimitService: &catalog.LimitService{Service: c.name(node.Limit.Service), Concurrency: c.whole(node.Limit.Concurrency)}}
	case node.Stop != nil:
		return catalog.Command{StopService: &catalog.StopService{Name: c.name(*node.Stop)}}
	case node.Start != nil:
		return catalog.Command{StartService: &catalog.StartService{Name: c.name(*node.Start)}}
	default:
		return c.memberCommand(node)
	}
}

func (c *converter) memberCommand(node *changeNode) catalog.Command {
	switch {
	case node.AddLeaf != nil:
		return catalog.Command{AddLeaf: c.addLeaf(node.AddLeaf)}
	case node.RetireLeaf != nil:
		return catalog.Command{RetireLeaf: &catalog.RetireLeaf{Address: c.address(*node.RetireLeaf)}}
	case node.RemoveLeaf != nil:
		return catalog.Command{RemoveLeaf: &catalog.RemoveLeaf{Address: c.address(*node.RemoveLeaf)}}
	case node.AddVoter != nil:
		voter := catalog.Voter{Name: c.name(node.AddVoter.Name), Zone: c.name(node.AddVoter.Zone)}
		return catalog.Command{AddVoter: &catalog.AddVoter{Voter: voter}}
	default:
		return catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: c.name(*node.RemoveVoter)}}
	}
}

func (c *converter) createService(node *createServiceNode) *catalog.CreateService {
	command := &catalog.CreateService{
		Name:     c.name(node.Name),
		Shards:   c.whole(node.Shards),
		Replicas: c.whole(node.Replicas),
	}
	if node.KeyColumn != nil {
		command.KeyColumn = c.column(*node.KeyColumn)
	}
	return command
}

func (c *converter) class(node *classNode) catalog.Class {
	class := catalog.Class{
		Name:       c.name(node.Name),
		Service:    c.name(node.Service),
		Priority:   c.whole(node.Priority),
		Deadline:   c.duration(node.Deadline),
		Coverage:   1,
		ExtraLoad:  DefaultExtraLoad,
		Repeatable: node.Repeatable,
	}
	if node.Coverage != nil {
		class.Coverage = c.share(node.Coverage.Pos, node.Coverage.Text, 0, phrases["ShareNode"])
	}
	if node.Hedge != nil {
		class.HedgePercentile = c.percentile(*node.Hedge)
	}
	if node.Extra != nil {
		class.ExtraLoad = c.share(node.Extra.Pos, node.Extra.Text, -2, "a percentage from 0% to 100%")
	}
	return class
}

func (c *converter) addLeaf(node *addLeafNode) *catalog.AddLeaf {
	command := &catalog.AddLeaf{
		Service: c.name(node.Service),
		Address: c.address(node.Address),
		Zone:    c.name(node.Zone),
	}
	for _, shard := range node.Shards {
		command.Shards = append(command.Shards, c.whole(shard))
	}
	return command
}

func (c *converter) show(node *showNode) *ShowStatement {
	statement := &ShowStatement{Subject: ShowSubject(strings.ToLower(node.Plain + node.Subject))}
	if node.Service != nil {
		statement.Service = c.name(*node.Service)
	}
	return statement
}
