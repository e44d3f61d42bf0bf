package node

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// show answers a show statement from the installed catalog.
func (o *operations) show(statement *language.ShowStatement) (*api.StatementResponse, error) {
	current := o.node.dissemination.Current()
	if statement.Service != "" {
		if _, ok := current.Services[statement.Service]; !ok {
			return nil, api.NewProblem(api.ProblemUnknownService, fmt.Sprintf("There is no service %q.", statement.Service))
		}
	}
	table := o.showTable(current, statement)
	return &api.StatementResponse{Kind: api.KindShow, Revision: current.Revision, Table: &table}, nil
}

func (o *operations) showTable(current *catalog.Catalog, statement *language.ShowStatement) rows.Table {
	switch statement.Subject {
	case language.ShowServices:
		return showServices(current)
	case language.ShowLeaves:
		return o.showLeaves(statement.Service)
	case language.ShowClasses:
		return showClasses(current, statement.Service)
	case language.ShowChanges:
		return showChanges(current)
	case language.ShowVoters:
		return showVoters(current)
	}
	return o.showNodes(current)
}

func text(value any) rows.Value {
	return rows.Value{Kind: rows.Text, Text: fmt.Sprint(value)}
}

func number[N int | uint64](value N) rows.Value {
	return rows.Value{Kind: rows.Number, Number: float64(value)}
}

func showServices(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"service", "shards", "epoch", "replicas", "key", "state", "concurrency", "classes", "leaves"}}
	for _, name := range current.ServiceNames() {
		service := current.Services[name]
		state := "started"
		if service.Stopped {
			state = "stopped"
		}
		newest := service.Newest()
		table.Rows = append(table.Rows, rows.Row{
			text(name), number(newest.Shards), number(newest.Epoch), number(service.Replicas), text(service.KeyColumn),
			text(state), number(service.Concurrency), number(len(service.Classes)), number(len(service.Leaves)),
		})
	}
	return table
}

func (o *operations) showLeaves(service string) rows.Table {
	table := rows.Table{Columns: []string{"service", "leaf", "zone", "shards", "state", "reason"}}
	for _, status := range o.node.leafStatuses() {
		if service != "" && status.Service != service {
			continue
		}
		table.Rows = append(table.Rows, rows.Row{
			text(status.Service), text(status.Address), text(status.Zone),
			text(catalog.FormatShards(status.Shards)), text(status.State), text(status.Reason),
		})
	}
	return table
}

func showClasses(current *catalog.Catalog, service string) rows.Table {
	table := rows.Table{Columns: []string{"service", "class", "priority", "deadline", "coverage", "hedge_after", "extra_load", "runs"}}
	for _, name := range current.ServiceNames() {
		if service != "" && name != service {
			continue
		}
		for _, className := range current.Services[name].ClassNames() {
			table.Rows = append(table.Rows, classRow(current.Services[name].Classes[className]))
		}
	}
	return table
}

func classRow(class catalog.Class) rows.Row {
	runs := "repeatable"
	if !class.Repeatable {
		runs = "once"
	}
	return rows.Row{
		text(class.Service), text(class.Name), number(class.Priority), text(class.Deadline),
		text(class.Coverage), text(class.HedgePercentile), text(class.ExtraLoad), text(runs),
	}
}

func showChanges(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"revision", "change", "at", "operator", "statement"}}
	for _, change := range current.Recent {
		table.Rows = append(table.Rows, rows.Row{
			number(change.Revision), text(change.ID), text(change.At.UTC().Format(time.RFC3339)),
			text(change.Operator), text(change.Statement),
		})
	}
	return table
}

func showVoters(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"voter", "zone"}}
	for _, name := range current.VoterNames() {
		table.Rows = append(table.Rows, rows.Row{text(name), text(current.Voters[name].Zone)})
	}
	return table
}

func (o *operations) showNodes(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"node", "zone", "address", "state", "revision", "voter"}}
	for _, status := range o.node.nodeStatuses(current) {
		table.Rows = append(table.Rows, rows.Row{
			text(status.Name), text(status.Zone), text(status.Address), text(status.State),
			number(status.Revision), text(status.Voter),
		})
	}
	return table
}
