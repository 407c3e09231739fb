package config

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	benchPlans    = 100
	benchAdapters = 1300 // In each plan.
)

// benchAllowances returns the text of an allowances list with 130,000 adapters.
// One adapter has the given version, and all others have v1.
func benchAllowances(version string) string {
	var b strings.Builder
	b.WriteString("allowances:\n")
	for p := range benchPlans {
		fmt.Fprintf(&b, "  - plan: plan-%03d\n    tokens_per_second: 2000\n    burst: 20000\n    adapters:\n", p)
		for a := range benchAdapters {
			v := "v1"
			if p == 7 && a == 77 {
				v = version
			}
			fmt.Fprintf(&b, "      - name: adapter-%03d-%04d\n        version: %s\n        base: base-7b\n", p, a, v)
		}
	}
	return b.String()
}

// benchTables returns the tables of the configuration in benchAllowances, with one
// organisation for each plan.
func benchTables(b *testing.B, version string) tables {
	var out Allowances
	for p := range benchPlans {
		a := Allowance{Plan: ident.Plan(fmt.Sprintf("plan-%03d", p)), TokensPerSecond: 2000, Burst: 20000}
		for i := range benchAdapters {
			use := AdapterUse{Name: ident.Adapter(fmt.Sprintf("adapter-%03d-%04d", p, i)), Version: "v1", Base: "base-7b"}
			if p == 7 && i == 77 {
				use.Version = ident.Version(version)
			}
			a.Adapters = append(a.Adapters, use)
		}
		out.Allowances = append(out.Allowances, a)
	}
	var plans Plans
	for p := range benchPlans {
		plans.Plans = append(plans.Plans,
			PlanEntry{ident.Organisation(fmt.Sprintf("org-%03d", p)), ident.Plan(fmt.Sprintf("plan-%03d", p)), 1})
	}
	return tables{plans: plansTree(plans), allowances: allowancesTree(out)}
}

func benchSnapshot(b *testing.B, revision Revision, version string) *Snapshot {
	s, err := snapshotOf(revision, benchTables(b, version).top())
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkPush130000 measures the installation of a push that changes one of
// 130,000 adapters. It reports the size of the push as pushB.
func BenchmarkPush130000(b *testing.B) {
	previous, next := benchSnapshot(b, 1, "v1"), benchSnapshot(b, 2, "v2")
	req := newPushRequest(members.Member{VM: "entry-001"}, pushJob{previous, next})
	f := newFleet(1, 1, store.NewMemory())
	r := f.replicas[f.entries[0].VM]
	for b.Loop() {
		b.StopTimer()
		r.current.Store(previous)
		b.StartTimer()
		if _, err := r.Push(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(req)), "pushB")
}

// BenchmarkLookup130000 measures the lookup of one of 130,000 adapters.
func BenchmarkLookup130000(b *testing.B) {
	s := benchSnapshot(b, 1, "v1")
	for b.Loop() {
		if _, ok := s.Adapter("org-007", "adapter-007-0077"); !ok {
			b.Fatal("Adapter() did not find adapter-007-0077")
		}
	}
}

// BenchmarkResident130000 measures the heap memory of a snapshot with 130,000
// adapters and its chunk index.
func BenchmarkResident130000(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := benchSnapshot(b, 1, "v1")
		var x chunkIndex
		x.update(nil, s.top)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
		runtime.KeepAlive(x)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
}

// BenchmarkApply130000 measures an edit that changes one of 130,000 adapters. It
// reports the reads and writes of the store for each edit.
func BenchmarkApply130000(b *testing.B) {
	memory := store.NewMemory()
	e := NewEditor(memory)
	if _, err := e.Apply(b.Context(), ListAllowances, benchAllowances("v0"), 0); err != nil {
		b.Fatal(err)
	}
	revision := Revision(1)
	before := memory.Calls()
	for b.Loop() {
		next, err := e.Apply(b.Context(), ListAllowances, benchAllowances(fmt.Sprintf("v%d", revision)), revision)
		if err != nil {
			b.Fatal(err)
		}
		revision = next
	}
	after := memory.Calls()
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/op")
}

// BenchmarkCheck130000 measures the validation of a list with 130,000 adapters.
func BenchmarkCheck130000(b *testing.B) {
	text := benchAllowances("v1")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseAllowances(text, nil, Catalog{}); err != nil {
			b.Fatal(err)
		}
	}
}
