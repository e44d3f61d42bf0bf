package language

import (
	"strings"

	"github.com/micaplank/micaplank/internal/catalog"
)

// DefaultExtraLoad is the ExtraLoad of a class whose statement has no extra clause.
const DefaultExtraLoad = 0.03

func (c *converter) convertCommand(node *changeNode) catalog.Command {
	switch {
	case node.CreateService != nil:
		return catalog.Command{CreateService: c.convertCreateService(node.CreateService)}
	case node.DropService != nil:
		return catalog.Command{DropService: &catalog.DropService{Name: c.convertName(*node.DropService)}}
	case node.DropClass != nil:
		return catalog.Command{DropClass: &catalog.DropClass{Service: c.convertName(node.DropClass.Service), Name: c.convertName(node.DropClass.Name)}}
	case node.Repartition != nil:
		return catalog.Command{Repartition: &catalog.Repartition{Service: c.convertName(node.Repartition.Service), Shards: c.convertInteger(node.Repartition.Shards)}}
	case node.DefineClass != nil:
		return catalog.Command{DefineClass: &catalog.DefineClass{Class: c.convertClass(node.DefineClass)}}
	case node.Limit != nil:
		return catalog.Command{LimitService: &catalog.LimitService{Service: c.convertName(node.Limit.Service), Concurrency: c.convertInteger(node.Limit.Concurrency)}}
	case node.Stop != nil:
		return catalog.Command{StopService: &catalog.StopService{Name: c.convertName(*node.Stop)}}
	case node.Start != nil:
		return catalog.Command{StartService: &catalog.StartService{Name: c.convertName(*node.Start)}}
	default:
		return c.convertLeafOrVoterCommand(node)
	}
}

// convertLeafOrVoterCommand converts the changes of leaves and voters, which convertCommand leaves
// to it.
func (c *converter) convertLeafOrVoterCommand(node *changeNode) catalog.Command {
	switch {
	case node.AddLeaf != nil:
		return catalog.Command{AddLeaf: c.convertAddLeaf(node.AddLeaf)}
	case node.RetireLeaf != nil:
		return catalog.Command{RetireLeaf: &catalog.RetireLeaf{Address: c.convertAddress(*node.RetireLeaf)}}
	case node.RemoveLeaf != nil:
		return catalog.Command{RemoveLeaf: &catalog.RemoveLeaf{Address: c.convertAddress(*node.RemoveLeaf)}}
	case node.AddVoter != nil:
		voter := catalog.Voter{Name: c.convertName(node.AddVoter.Name), Zone: c.convertName(node.AddVoter.Zone)}
		return catalog.Command{AddVoter: &catalog.AddVoter{Voter: voter}}
	default:
		return catalog.Command{RemoveVoter: &catalog.RemoveVoter{Name: c.convertName(*node.RemoveVoter)}}
	}
}

func (c *converter) convertCreateService(node *createServiceNode) *catalog.CreateService {
	command := &catalog.CreateService{
		Name:     c.convertName(node.Name),
		Shards:   c.convertInteger(node.Shards),
		Replicas: c.convertInteger(node.Replicas),
	}
	if node.KeyColumn != nil {
		command.KeyColumn = c.convertColumn(*node.KeyColumn)
	}
	return command
}

func (c *converter) convertClass(node *classNode) catalog.Class {
	class := catalog.Class{
		Name:       c.convertName(node.Name),
		Service:    c.convertName(node.Service),
		Priority:   c.convertInteger(node.Priority),
		Deadline:   c.convertDuration(node.Deadline),
		Coverage:   1,
		ExtraLoad:  DefaultExtraLoad,
		Repeatable: node.Repeatable,
	}
	if node.Coverage != nil {
		class.Coverage = c.convertShare(node.Coverage.Pos, node.Coverage.Text, 0, productionPhrases["ShareNode"])
	}
	if node.Hedge != nil {
		class.HedgePercentile = c.convertPercentile(*node.Hedge)
	}
	if node.Extra != nil {
		class.ExtraLoad = c.convertShare(node.Extra.Pos, node.Extra.Text, -2, "a percentage from 0% to 100%")
	}
	return class
}

func (c *converter) convertAddLeaf(node *addLeafNode) *catalog.AddLeaf {
	command := &catalog.AddLeaf{
		Service: c.convertName(node.Service),
		Address: c.convertAddress(node.Address),
		Zone:    c.convertName(node.Zone),
	}
	for _, shard := range node.Shards {
		command.Shards = append(command.Shards, c.convertInteger(shard))
	}
	return command
}

func (c *converter) convertShow(node *showNode) *ShowStatement {
	statement := &ShowStatement{Subject: ShowSubject(strings.ToLower(node.GlobalSubject + node.ServiceSubject))}
	if node.Service != nil {
		statement.Service = c.convertName(*node.Service)
	}
	return statement
}
