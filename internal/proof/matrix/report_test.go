package matrix_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
)

const reportPath = "../../../docs/FAULTS.md"

var update = flag.Bool("update", false, "overwrite docs/FAULTS.md with the outcomes of this run")

// outcomes collects the outcomes of cells and changes. Its methods are safe for
// concurrent use.
type outcomes struct {
	mu     sync.Mutex
	byCell map[string]string
}

var report = &outcomes{byCell: make(map[string]string)}

func (o *outcomes) add(name, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byCell[name] = outcome
}

// get returns the outcome of a cell, or a dash if the cell does not exist.
func (o *outcomes) get(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome, ok := o.byCell[name]; ok {
		return outcome
	}
	return "–"
}

// countPrefix returns the number of cells whose name begins with prefix.
func (o *outcomes) countPrefix(prefix string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for name := range o.byCell {
		if strings.HasPrefix(name, prefix) {
			n++
		}
	}
	return n
}

// TestMain runs the tests, then compares docs/FAULTS.md with their outcomes or,
// with -update, overwrites it.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if code == 0 || *update {
		code = max(code, writeOrCompareReport())
	}
	os.Exit(code)
}

// writeOrCompareReport overwrites docs/FAULTS.md if -update is set and compares it
// otherwise. It returns the exit code and does nothing after a partial run.
func writeOrCompareReport() int {
	if report.countPrefix("single/") < len(singleFaultCells()) || report.countPrefix("change/") < len(allChanges()) {
		return 0 // Only some cells were run.
	}
	text := renderReport()
	if *update {
		if err := os.WriteFile(reportPath, []byte(text), 0o644); err != nil {
			fmt.Println(err)
			return 1
		}
		return 0
	}
	old, err := os.ReadFile(reportPath)
	if err != nil || string(old) != text {
		fmt.Println("docs/FAULTS.md is missing or differs from the outcomes of this run; update it with: go test ./internal/proof/matrix -update")
		printNewLines(string(old), text)
		return 1
	}
	return 0
}

// printNewLines prints the lines of text that are not in old.
func printNewLines(old, text string) {
	oldLines := strings.Split(old, "\n")
	for _, line := range strings.Split(text, "\n") {
		if !slices.Contains(oldLines, line) {
			fmt.Println("+", line)
		}
	}
}

const reportHead = `# Fault matrix

Made from a run of ` + "`go test ./internal/proof/matrix -update`" + `; CI fails where this page and a run differ.
Do not edit it by hand.

Each cell starts a fleet of real processes (2 entries; 3 engines' agents, or one and 2 agents of a plain
service) with the stand-ins under deterministic time, brings one request to the step, causes the fault,
heals it, and sends more requests. The promises below are checked in every cell, from what the endpoints
recorded. A table's entry is what the request's caller saw; "!" marks a cell in which a promise was broken.

Promises: %s. After the fault is healed, requests of both organisations are answered again.
`

// renderReport returns the content of docs/FAULTS.md.
func renderReport() string {
	var b strings.Builder
	names := make([]string, 0, len(promises))
	for _, p := range promises {
		names = append(names, p.name)
	}
	fmt.Fprintf(&b, reportHead, strings.Join(names, "; "))
	for _, k := range routeKinds {
		renderKind(&b, k)
	}
	renderPairs(&b)
	renderChanges(&b)
	return b.String()
}

// renderKind writes the table of single faults for a route kind.
func renderKind(b *strings.Builder, k routeKind) {
	fmt.Fprintf(b, "\n## Route kind: %s\n\n| fault |", k.name)
	for _, s := range steps {
		fmt.Fprintf(b, " %s |", s.name)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(steps)+1) + "\n")
	for _, f := range faults {
		if !f.canRunWith(k) {
			continue
		}
		fmt.Fprintf(b, "| %s |", f.name)
		for _, s := range steps {
			c := cell{kind: k, step: s, faults: []fault{f}}
			fmt.Fprintf(b, " %s |", report.get("single/"+c.name()))
		}
		b.WriteString("\n")
	}
}

// renderPairs writes the section on pairs of faults.
func renderPairs(b *strings.Builder) {
	fmt.Fprintf(b, "\n## Two faults at once, and the same fault twice\n\nEvery pair of faults, %s apart, at a step and route kind drawn by a fixed seed: %d cells.\n",
		pairInterval, report.countPrefix("pair/"))
	var broken []string
	for name, outcome := range maps.All(report.byCell) {
		if strings.HasPrefix(name, "pair/") && strings.HasPrefix(outcome, "!") {
			broken = append(broken, strings.TrimPrefix(name, "pair/"))
		}
	}
	slices.Sort(broken)
	if len(broken) == 0 {
		b.WriteString("The promises held in all of them.\n")
		return
	}
	b.WriteString("A promise was broken in:\n\n")
	for _, name := range broken {
		fmt.Fprintf(b, "- %s\n", name)
	}
}

// renderChanges writes the section on configuration changes.
func renderChanges(b *strings.Builder) {
	b.WriteString("\n## Changes of configuration\n\nThe edit goes through entry-1; probes through both entries show what is in force. An accepted edit is in\nforce at every entry within " +
		maxPropagation.String() + " (at a stopped one: of its return) and never reverts; an edit that was refused never shows. The entry is the\noperator's answer.\n")
	for _, e := range edits {
		fmt.Fprintf(b, "\n| %s |", e.name)
		for _, s := range changeSteps {
			fmt.Fprintf(b, " %s |", s.name)
		}
		b.WriteString("\n|" + strings.Repeat(" --- |", len(changeSteps)+1) + "\n")
		for _, f := range changeFaults() {
			fmt.Fprintf(b, "| %s |", f.name)
			for _, s := range changeSteps {
				fmt.Fprintf(b, " %s |", report.get(fmt.Sprintf("change/%s/%s/%s", e.name, f.name, s.name)))
			}
			b.WriteString("\n")
		}
	}
}

// markOutcome prefixes the outcome of a failed cell with "! ".
func markOutcome(t *testing.T, outcome string) string {
	if t.Failed() {
		return "! " + outcome
	}
	return outcome
}
