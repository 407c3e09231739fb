package control

import (
	"context"
	"strconv"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
)

// agePrecision is the precision of ages below one minute.
const agePrecision = 100 * time.Millisecond

func addStatus(p *Program) {
	status := p.App.Command("status", "Shows the revision of each entry and its age, the share holders and their balances, and degradations.")
	p.Handle(status, func(ctx context.Context) error { return showStatus(ctx, p) })
}

func showStatus(ctx context.Context, p *Program) error {
	status, err := p.Client().Status(ctx)
	if err != nil {
		return err
	}
	tables := []Table{summaryTable(status), entriesTable(status)}
	if len(status.Shares) > 0 {
		tables = append(tables, holdersTable(status.Shares))
	}
	if t := degradedTable(status, time.Now()); len(t.Rows) > 0 {
		tables = append(tables, t)
	}
	return p.Print(status, tables...)
}

// summaryTable describes the entry that responded.
func summaryTable(s operatorapi.Status) Table {
	return Table{
		Heading: []string{"ANSWERED BY", "REVISION", "TRUSTS KEYS", "REASON"},
		Rows:    [][]string{{string(s.VM), s.Revision.String(), yesNo(s.Fresh), s.Reason}},
	}
}

// entriesTable has one row per entry. An entry that did not respond has "-" in the
// columns that it reports itself.
func entriesTable(s operatorapi.Status) Table {
	stateOf := make(map[string]string, len(s.Members))
	for _, m := range s.Members {
		stateOf[string(m.VM)] = m.State
	}
	t := Table{Heading: []string{"ENTRY", "FAILURE DOMAIN", "SEEN AS", "REVISION", "IN FORCE FOR", "CONFIRMED", "TRUSTS KEYS"}}
	for _, e := range s.Entries {
		row := []string{string(e.VM), string(e.FailureDomain), stateOf[string(e.VM)], "-", "-", "-", "-"}
		if e.Responded {
			row = append(row[:3], e.Revision.String(), formatAge(e.InForceAge), formatConfirmed(e), yesNo(e.Fresh))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// formatConfirmed returns the time since the store last confirmed the entry's
// revision, or "never".
func formatConfirmed(e config.EntryState) string {
	if e.ConfirmedAge < 0 {
		return "never"
	}
	return formatAge(e.ConfirmedAge) + " ago"
}

func formatAge(age time.Duration) string {
	if age >= time.Minute {
		return age.Round(time.Second).String()
	}
	return age.Round(agePrecision).String()
}

// holdersTable has one row per share of an account.
func holdersTable(shares []operatorapi.ShareState) Table {
	t := Table{Heading: []string{"ACCOUNT", "SHARE", "HOLDER", "BALANCE", "OUTSTANDING", "BURST"}}
	for _, s := range shares {
		t.Rows = append(t.Rows, []string{
			s.Account, strconv.Itoa(s.Share), string(s.VM), formatTokens(s.Balance), formatTokens(s.Outstanding), formatTokens(s.Burst),
		})
	}
	return t
}

func formatTokens(n int64) string {
	return strconv.FormatInt(n, 10)
}

// degradedTable lists the degradations that the entries report, and the entries
// that did not respond. Those of the entry that was called come first.
func degradedTable(s operatorapi.Status, now time.Time) Table {
	t := Table{Heading: []string{"DEGRADED", "AT", "FOR"}}
	add := func(vm string, degradations []config.Degradation) {
		for _, d := range degradations {
			t.Rows = append(t.Rows, []string{d.Condition, vm, formatAge(now.Sub(d.Since))})
		}
	}
	add(string(s.VM), s.Degraded)
	for _, e := range s.Entries {
		switch {
		case !e.Responded:
			t.Rows = append(t.Rows, []string{"entry does not respond", string(e.VM), "-"})
		case e.VM != s.VM:
			add(string(e.VM), e.Degraded)
		}
	}
	return t
}
