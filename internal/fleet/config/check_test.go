package config

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const badAllowances = `allowances:
  - plan: gold
    tokens_per_second: -5
    burst: 100
    adapters:
      - {name: maps, version: v1, base: base-7a}
      - {name: maps, version: v 1, base: base-7b}
    services:
      - name: bokking
        routes:
          - {method: POSST, path: /deposits, idempotent: false}
          - {method: GET, path: hours, idempotent: maybe}
    adapterz: []
  - plan: gold
    tokens_per_second: 1
    burst: 1
    services:
      - name: booking
        routes:
          - {method: GET, path: "/a/*/b", idempotent: true, open: true}
          - {method: GET, path: /x, idempotent: true}
          - {method: GET, path: /x, idempotent: false}
`

func TestParseAllowancesReportsAllProblems(t *testing.T) {
	assigned := map[ident.Plan]ident.Organisation{"silver": "lima", "gold": "smithy"}
	catalog := Catalog{Bases: []string{"base-7b"}, Services: []string{"booking"}}
	_, err := parseAllowances(badAllowances, assigned, catalog)
	var invalid *Invalid
	if !errors.As(err, &invalid) {
		t.Fatalf("parseAllowances() error = %v, want *Invalid", err)
	}
	want := []string{
		`line 1, column 1: plan "silver" is missing, but it is assigned to organisation "lima"`,
		`line 3, column 24: tokens_per_second is -5`,
		`line 4, column 12: burst 100 is smaller than one request`,
		`line 6, column 41: no engine on the VM list runs the base model "base-7a"; did you mean "base-7b"?`,
		`line 7, column 16: adapter "maps" is given twice`,
		`line 7, column 31: "v 1" is not a valid version`,
		`line 9, column 15: the VM list has no service "bokking"; did you mean "booking"?`,
		`line 11, column 22: unknown method "POSST"; did you mean "POST"?`,
		`line 12, column 33: bad path "hours": it must begin with "/"`,
		`line 12, column 52: idempotent must be true or false, not "maybe"`,
		`line 13, column 5: unknown field "adapterz"; did you mean "adapters"?`,
		`line 14, column 11: plan "gold" is given twice`,
		`line 20, column 33: bad path "/a/*/b": "*" is only allowed at the end`,
		`line 22, column 33: route "booking GET /x" is given twice`,
		`line 22, column 49: route GET /x of service "booking" has idempotent: true in plan "gold"`,
	}
	got := strings.Split(err.Error(), "\n")
	for i, line := range want {
		if i >= len(got) || !strings.HasPrefix(got[i], line) {
			t.Errorf("problem %d does not begin with %q", i, line)
		}
	}
	if len(got) != len(want) {
		t.Errorf("parseAllowances() reports %d problems, want %d:\n%s", len(got), len(want), err)
	}
}

func TestCatalogAcceptsNamesInForce(t *testing.T) {
	inForce := Allowances{Allowances: []Allowance{{
		Adapters: []AdapterUse{{Base: "base-7b"}}, Services: []ServiceUse{{Name: "booking"}},
	}}}
	got := Catalog{Bases: []string{"base-13b"}}.withNamesFrom(inForce)
	if len(got.Bases) != 2 || len(got.Services) != 0 {
		t.Errorf("withNamesFrom() = %+v, want 2 bases and no services", got)
	}
}

func TestParsePlansReportsProblems(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"plans:\n- {organisation: a, plan: glod}", `line 2, column 27: the allowances list has no plan "glod"; did you mean "gold"?`},
		{"plans:\n- {organisation: a, plan: gold}\n- {organisation: a, plan: gold}", `line 3, column 18: organisation "a" is given twice`},
		{"plans:\n- {organisation: a, plan: gold, weight: 0}", `line 2, column 41: weight is 0`},
		{"plans:\n- {plan: gold}", `line 2, column 4: field "organisation" is missing`},
		{"plans: [", `line 1, column`},
		{"", `line 1, column 1: the file must contain exactly one non-empty YAML document`},
		{"plans: 5", `line 1, column 8: expected a list`},
	} {
		_, err := parsePlans(c.text, []string{"gold"})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("parsePlans(%q) error = %v, want it to begin with %q", c.text, err, c.want)
		}
	}
}

// TestItemByItemParseMatchesFullParse checks that parsing a list item by item and
// parsing it at once give the same error.
func TestItemByItemParseMatchesFullParse(t *testing.T) {
	for _, text := range []string{
		testAllowances, badAllowances, "allowances: # all\n# one\n- plan: a\n\n  tokens_per_second: 1\n# two\n  burst: 1\n-\n  plan: b\n",
		"allowances:\n  - plan: |\n      - x\n    burst: 1\n", "allowances:\n- plan: \"a\n- b\"\n", "allowances:\n- a: 1\nother: 2\n",
		"allowances:\n- plan: a\n---\nallowances: []\n", "allowances:\n", "allowances:\n  - {plan: a,\n  burst: 1}\n",
	} {
		_, err := parseAllowances(text, nil, Catalog{})
		_, fullParse := readAllowances(text, nil, Catalog{}, true)
		if err == nil != (fullParse.err() == nil) || err != nil && err.Error() != fullParse.err().Error() {
			t.Errorf("parseAllowances(%q) error =\n%v\nfull parse:\n%v", text, err, fullParse.err())
		}
	}
	if items, ok := splitItems(testAllowances, "allowances"); !ok || len(items) != 1 || items[0].linesBefore != 2 {
		t.Errorf("splitItems() = %v, %t, want 1 item with 2 lines before it, true", items, ok)
	}
}

func FuzzLists(f *testing.F) {
	f.Add(testPlans)
	f.Add(testAllowances)
	f.Add(badAllowances)
	f.Add("plans: &a [*a]")
	f.Add("? {a: b}\n: c")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := parsePlans(text, []string{"gold"}); err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("parsePlans(%q) error = %v, want nil or ErrInvalid", text, err)
		}
		allowances, err := parseAllowances(text, nil, Catalog{})
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("parseAllowances(%q) error = %v, want nil or ErrInvalid", text, err)
		}
		_, fullParse := readAllowances(text, nil, Catalog{}, true)
		if (err == nil) != (fullParse.err() == nil) {
			t.Errorf("parsed item by item: error %v; full parse: error %v", err, fullParse.err())
		}
		if err == nil {
			NewSnapshot(1, Plans{}, allowances, nil)
		}
	})
}

func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision":3,"root":"00112233445566778899aabbccddeeff","edits":[{"id":"a","revision":3}]}`))
	f.Add([]byte(`{"root":"zz"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := decodeHead(data); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("decodeHead(%q) error = %v, want nil or ErrCorrupt", data, err)
		}
	})
}
