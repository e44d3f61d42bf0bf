package node

import (
	"fmt"
	"time"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/rows"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
	"github.com/micaplank/micaplank/internal/selfhosted/language"
)

// show runs a show statement on the installed catalog.
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

func textValue(value any) rows.Value {
	return rows.Value{Kind: rows.Text, Text: fmt.Sprint(value)}
}

func numberValue[N int | uint64](value N) rows.Value {
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
		newest := service.NewestPartition()
		table.Rows = append(table.Rows, rows.Row{
			textValue(name), numberValue(newest.Shards), numberValue(newest.Epoch), numberValue(service.Replicas), textValue(service.KeyColumn),
			textValue(state), numberValue(service.Concurrency), numberValue(len(service.Classes)), numberValue(len(service.Leaves)),
		})
	}
	return table
}

func (o *operations) showLeaves(serviceName string) rows.Table {
	table := rows.Table{Columns: []string{"service", "leaf", "zone", "shards", "state", "reason"}}
	for _, status := range o.node.listLeafStatuses() {
		if serviceName != "" && status.Service != serviceName {
			continue
		}
		table.Rows = append(table.Rows, rows.Row{
			textValue(status.Service), textValue(status.Address), textValue(status.Zone),
			textValue(catalog.FormatShards(status.Shards)), textValue(status.State), textValue(status.Reason),
		})
	}
	return table
}

func showClasses(current *catalog.Catalog, serviceName string) rows.Table {
	table := rows.Table{Columns: []string{"service", "class", "priority", "deadline", "coverage", "hedge_after", "extra_load", "runs"}}
	for _, name := range current.ServiceNames() {
		if serviceName != "" && name != serviceName {
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
		textValue(class.Service), textValue(class.Name), numberValue(class.Priority), textValue(class.Deadline),
		textValue(class.Coverage), textValue(class.HedgePercentile), textValue(class.ExtraLoad), textValue(runs),
	}
}

func showChanges(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"revision", "change", "at", "operator", "statement"}}
	for _, change := range current.Recent {
		table.Rows = append(table.Rows, rows.Row{
			numberValue(change.Revision), textValue(change.ID), textValue(change.At.UTC().Format(time.RFC3339)),
			textValue(change.Operator), textValue(change.Statement),
		})
	}
	return table
}

func showVoters(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"voter", "zone"}}
	for _, name := range current.VoterNames() {
		table.Rows = append(table.Rows, rows.Row{textValue(name), textValue(current.Voters[name].Zone)})
	}
	return table
}

func (o *operations) showNodes(current *catalog.Catalog) rows.Table {
	table := rows.Table{Columns: []string{"node", "zone", "address", "state", "revision", "voter"}}
	for _, status := range o.node.listNodeStatuses(current) {
		table.Rows = append(table.Rows, rows.Row{
			textValue(status.Name), textValue(status.Zone), textValue(status.Address), textValue(status.State),
			numberValue(status.Revision), textValue(status.Voter),
		})
	}
	return table
}
