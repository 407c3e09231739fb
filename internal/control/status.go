package control

import (
	"context"
)

func addStatus(p *Program) {
	status := p.App.Command("status", "Shows revision, entries, holders and what is degraded.")
	p.Handle(status, func(ctx context.Context) error { return showStatus(ctx, p) })
}

func showStatus(ctx context.Context, p *Program) error {
	status, err := p.Client().Status(ctx)
	if err != nil {
		return err
	}
	return p.Print(status, revisionTable(status.Revision))
}
