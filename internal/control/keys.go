package control

import (
	"context"
	"fmt"
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// keysCommand holds the arguments of the keys commands.
type keysCommand struct {
	program      *Program
	organisation string
	hash         string
}

func addKeys(p *Program) {
	c := &keysCommand{program: p}
	group := p.App.Command("keys", "Grants, withdraws and lists the keys of organisations.")
	grant := group.Command("grant", "Grants a new key and prints it. It cannot be shown again: only its hash is stored.")
	grant.Arg("organisation", "Organisation to grant the key to.").Required().StringVar(&c.organisation)
	p.Handle(grant, c.grant)
	withdraw := group.Command("withdraw", "Withdraws a key and waits until the withdrawal is in force.")
	withdraw.Arg("organisation", "Organisation that has the key.").Required().StringVar(&c.organisation)
	withdraw.Arg("hash", "Hash of the key or an unambiguous prefix of it; optional if the organisation has one key.").StringVar(&c.hash)
	p.Handle(withdraw, c.withdraw)
	list := group.Command("list", "Lists the hashes of an organisation's keys.")
	list.Arg("organisation", "Organisation to list the keys of.").Required().StringVar(&c.organisation)
	p.Handle(list, c.list)
}

func (c *keysCommand) grant(ctx context.Context) error {
	granted, err := c.program.Client().GrantKey(ctx, ident.Organisation(c.organisation))
	if err != nil {
		return err
	}
	return c.program.Print(granted, Table{
		Heading: []string{"KEY", "HASH", "REVISION"},
		Rows:    [][]string{{granted.Key, string(granted.Hash), granted.Revision.String()}},
	})
}

func (c *keysCommand) withdraw(ctx context.Context) error {
	w, err := c.program.Client().WithdrawKey(ctx, ident.Organisation(c.organisation), c.hash)
	if err != nil {
		return err
	}
	if err := c.program.Print(w, withdrawalTable(w)); err != nil {
		return err
	}
	if !w.InForce {
		return ErrNotInForce
	}
	return nil
}

func withdrawalTable(w config.Withdrawal) Table {
	unconfirmed := "-"
	if len(w.Unconfirmed) > 0 {
		unconfirmed = joinNames(w.Unconfirmed)
	}
	return Table{
		Heading: []string{"REVISION", "IN FORCE", "CONFIRMED BY", "NOT CONFIRMED BY"},
		Rows: [][]string{{
			w.Revision.String(), yesNo(w.InForce), fmt.Sprintf("%d of %d", w.Confirmed, w.Entries), unconfirmed,
		}},
	}
}

func joinNames(vms []ident.VM) string {
	names := make([]string, 0, len(vms))
	for _, vm := range vms {
		names = append(names, string(vm))
	}
	return strings.Join(names, ", ")
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (c *keysCommand) list(ctx context.Context) error {
	keys, err := c.program.Client().ListKeys(ctx, ident.Organisation(c.organisation))
	if err != nil {
		return err
	}
	t := Table{Heading: []string{"HASH", "ORGANISATION"}}
	for _, k := range keys {
		t.Rows = append(t.Rows, []string{string(k.Hash), string(k.Organisation)})
	}
	return c.program.Print(keys, t)
}
