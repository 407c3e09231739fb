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

var update = flag.Bool("update", false, "write docs/FAULTS.md from the run")

// outcomes collects what callers saw, by cell.
type outcomes struct {
	mu   sync.Mutex
	seen map[string]string
}

var report = &outcomes{seen: make(map[string]string)}

func (o *outcomes) add(name, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen[name] = outcome
}

func (o *outcomes) get(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if outcome, ok := o.seen[name]; ok {
		return outcome
	}
	return "–"
}

// count returns how many cells have a name that begins with prefix.
func (o *outcomes) count(prefix string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for name := range o.seen {
		if strings.HasPrefix(name, prefix) {
			n++
		}
	}
	return n
}

// TestMain compares docs/FAULTS.md with the run after the tests, or writes it.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if code == 0 || *update {
		code = max(code, writeReport())
	}
	os.Exit(code)
}

// writeReport returns an exit code.
func writeReport() int {
	if report.count("single/") < len(singles()) || report.count("change/") < len(changes()) {
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
		fmt.Println("docs/FAULTS.md is not what the run gives; renew it with: go test ./internal/proof/matrix -update")
		printDifference(string(old), text)
		return 1
	}
	return 0
}

func printDifference(old, text string) {
	known := strings.Split(old, "\n")
	for _, line := range strings.Split(text, "\n") {
		if !slices.Contains(known, line) {
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

func renderReport() string {
	var b strings.Builder
	names := make([]string, 0, len(promises))
	for _, p := range promises {
		names = append(names, p.name)
	}
	fmt.Fprintf(&b, reportHead, strings.Join(names, "; "))
	for _, k := range kinds {
		renderKind(&b, k)
	}
	renderPairs(&b)
	renderChanges(&b)
	return b.String()
}

func renderKind(b *strings.Builder, k kind) {
	fmt.Fprintf(b, "\n## Route kind: %s\n\n| fault |", k.name)
	for _, s := range steps {
		fmt.Fprintf(b, " %s |", s.name)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(steps)+1) + "\n")
	for _, f := range faults {
		if !f.has(k) {
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

func renderPairs(b *strings.Builder) {
	fmt.Fprintf(b, "\n## Two faults at once, and the same fault twice\n\nEvery pair of faults, %s apart, at a step and route kind drawn by a fixed seed: %d cells.\n",
		secondFault, report.count("pair/"))
	var broken []string
	for name, outcome := range maps.All(report.seen) {
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

func renderChanges(b *strings.Builder) {
	b.WriteString("\n## Changes of configuration\n\nThe edit goes through entry-1; probes through both entries show what is in force. An accepted edit is in\nforce at every entry within " +
		inForceWithin.String() + " (at a stopped one: of its return) and never reverts; an edit that was refused never shows. The entry is the\noperator's answer.\n")
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

// mark puts a sign before the outcome of a cell in which a promise was broken.
func mark(t *testing.T, outcome string) string {
	if t.Failed() {
		return "! " + outcome
	}
	return outcome
}
