package config

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Keys of the rows of the top tree. Each row holds the tree of one table.
const (
	tablePlans      = "plans"      // Key: organisation; value: planValue.
	tableAllowances = "allowances" // Key: plan; value: allowanceValue; tree: the plan's adapters.
	tableKeys       = "keys"       // Key: hash of the key; value: organisation.
)

// planValue is the value of a row of tablePlans.
type planValue struct {
	Plan   ident.Plan `json:"plan"`
	Weight int        `json:"weight"`
}

// allowanceValue is the value of a row of tableAllowances.
type allowanceValue struct {
	TokensPerSecond int64        `json:"tokens_per_second"`
	Burst           int64        `json:"burst"`
	Priority        int          `json:"priority"`
	Services        []ServiceUse `json:"services,omitempty"`
}

// tables holds the trees of one revision.
type tables struct {
	plans, allowances, keys *hashtree.Tree
}

// tablesOf returns the tables of a top tree.
func tablesOf(top *hashtree.Tree) tables {
	return tables{
		plans:      subtree(top, tablePlans),
		allowances: subtree(top, tableAllowances),
		keys:       subtree(top, tableKeys),
	}
}

// top returns the top tree of the tables.
func (t tables) top() *hashtree.Tree {
	return hashtree.Build([]hashtree.Row{
		{Key: tablePlans, Tree: t.plans},
		{Key: tableAllowances, Tree: t.allowances},
		{Key: tableKeys, Tree: t.keys},
	})
}

func subtree(t *hashtree.Tree, key string) *hashtree.Tree {
	row, _ := t.Get(key)
	return row.Tree
}

// plansTree returns the table tree of a plans list.
func plansTree(plans Plans) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(plans.Plans))
	for _, p := range plans.Plans {
		rows = append(rows, hashtree.Row{Key: string(p.Organisation), Value: encodeJSON(planValue{p.Plan, p.Weight})})
	}
	return hashtree.Build(rows)
}

// allowancesTree returns the table tree of an allowances list.
func allowancesTree(allowances Allowances) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(allowances.Allowances))
	for _, a := range allowances.Allowances {
		value := allowanceValue{a.TokensPerSecond, a.Burst, a.Priority, a.Services}
		rows = append(rows, hashtree.Row{Key: string(a.Plan), Value: encodeJSON(value), Tree: adaptersTree(a.Adapters)})
	}
	return hashtree.Build(rows)
}

func adaptersTree(uses []AdapterUse) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(uses))
	for _, use := range uses {
		rows = append(rows, hashtree.Row{Key: string(use.Name), Value: encodeAdapter(use)})
	}
	return hashtree.Build(rows)
}

// keysTree returns the table tree of granted keys.
func keysTree(keys []Key) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, hashtree.Row{Key: string(k.Hash), Value: []byte(k.Organisation)})
	}
	return hashtree.Build(rows)
}

// plansOf decodes a plans table, ordered by organisation. It returns ErrCorrupt
// for an invalid row.
func plansOf(t *hashtree.Tree) (Plans, error) {
	var out Plans
	err := eachRow(t, func(row hashtree.Row) error {
		var v planValue
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return err
		}
		out.Plans = append(out.Plans, PlanEntry{ident.Organisation(row.Key), v.Plan, v.Weight})
		return nil
	})
	slices.SortFunc(out.Plans, func(a, b PlanEntry) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out, err
}

// allowancesOf decodes an allowances table, ordered by plan. It returns
// ErrCorrupt for an invalid row.
func allowancesOf(t *hashtree.Tree) (Allowances, error) {
	var out Allowances
	err := eachRow(t, func(row hashtree.Row) error {
		var v allowanceValue
		if err := json.Unmarshal(row.Value, &v); err != nil {
			return err
		}
		out.Allowances = append(out.Allowances, Allowance{
			Plan: ident.Plan(row.Key), TokensPerSecond: v.TokensPerSecond, Burst: v.Burst,
			Priority: v.Priority, Adapters: adaptersOf(row.Tree), Services: v.Services,
		})
		return nil
	})
	slices.SortFunc(out.Allowances, func(a, b Allowance) int { return cmp.Compare(a.Plan, b.Plan) })
	return out, err
}

// adaptersOf decodes the tree of a plan's adapters, ordered by name.
func adaptersOf(t *hashtree.Tree) []AdapterUse {
	out := make([]AdapterUse, 0, t.Len())
	t.Each(func(row hashtree.Row) { out = append(out, decodeAdapter(row)) })
	slices.SortFunc(out, func(a, b AdapterUse) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// keysOf decodes a keys table, ordered by hash.
func keysOf(t *hashtree.Tree) []Key {
	out := make([]Key, 0, t.Len())
	t.Each(func(row hashtree.Row) {
		out = append(out, Key{Hash: ident.KeyHash(row.Key), Organisation: ident.Organisation(row.Value)})
	})
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.Hash, b.Hash) })
	return out
}

// eachRow calls f with the rows of a tree until f fails. It returns the error of f
// as ErrCorrupt.
func eachRow(t *hashtree.Tree, f func(hashtree.Row) error) error {
	var failed error
	t.Each(func(row hashtree.Row) {
		if failed == nil {
			failed = f(row)
		}
	})
	if failed != nil {
		return errors.WithType(failed, ErrCorrupt)
	}
	return nil
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // The types of this package can always be encoded.
	}
	return data
}

func encodeAdapter(use AdapterUse) []byte {
	row := &rpc.AdapterRow{Version: string(use.Version), Base: string(use.Base)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
	if err != nil {
		panic(err) // Encoding fails only for invalid UTF-8, and all names are validated.
	}
	return data
}

// Field numbers of message AdapterRow in config.proto.
const (
	fieldAdapterVersion = 1
	fieldAdapterBase    = 2
)

// decodeAdapter decodes the row of an adapter. It runs for each request, so it
// reads the fields from the wire format without building a message.
func decodeAdapter(row hashtree.Row) AdapterUse {
	use := AdapterUse{Name: ident.Adapter(row.Key)}
	for data := row.Value; len(data) > 0; {
		number, _, n := protowire.ConsumeTag(data)
		if n < 0 {
			return use
		}
		field, m := protowire.ConsumeBytes(data[n:])
		if m < 0 {
			return use
		}
		data = data[n+m:]
		switch number {
		case fieldAdapterVersion:
			use.Version = ident.Version(field)
		case fieldAdapterBase:
			use.Base = ident.BaseModel(field)
		}
	}
	return use
}
