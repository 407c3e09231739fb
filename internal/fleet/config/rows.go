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

// Rows of the top tree. Each holds the tree of one table.
const (
	tablePlans      = "plans"      // Key: organisation.
	tableAllowances = "allowances" // Key: plan; the row's tree holds its adapters.
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

// tables are the trees of one revision.
type tables struct {
	plans, allowances, keys *hashtree.Tree
}

func tablesOf(top *hashtree.Tree) tables {
	return tables{
		plans:      subtree(top, tablePlans),
		allowances: subtree(top, tableAllowances),
		keys:       subtree(top, tableKeys),
	}
}

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

func plansTree(plans Plans) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(plans.Plans))
	for _, p := range plans.Plans {
		rows = append(rows, hashtree.Row{Key: string(p.Organisation), Value: encodeJSON(planValue{p.Plan, p.Weight})})
	}
	return hashtree.Build(rows)
}

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

func keysTree(keys []Key) *hashtree.Tree {
	rows := make([]hashtree.Row, 0, len(keys))
	for _, k := range keys {
		rows = append(rows, hashtree.Row{Key: string(k.Hash), Value: []byte(k.Organisation)})
	}
	return hashtree.Build(rows)
}

// plansOf returns the plans list of a tree, ordered by organisation.
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

// allowancesOf returns the allowances list of a tree, ordered by plan.
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

// adaptersOf returns the adapters of a plan's tree, ordered by name.
func adaptersOf(t *hashtree.Tree) []AdapterUse {
	out := make([]AdapterUse, 0, t.Len())
	t.Each(func(row hashtree.Row) { out = append(out, decodeAdapter(row)) })
	slices.SortFunc(out, func(a, b AdapterUse) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// keysOf returns the granted keys of a tree, ordered by hash.
func keysOf(t *hashtree.Tree) []Key {
	out := make([]Key, 0, t.Len())
	t.Each(func(row hashtree.Row) {
		out = append(out, Key{Hash: ident.KeyHash(row.Key), Organisation: ident.Organisation(row.Value)})
	})
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.Hash, b.Hash) })
	return out
}

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
		panic(err) // The types of this package always encode.
	}
	return data
}

func encodeAdapter(use AdapterUse) []byte {
	row := &rpc.AdapterRow{Version: string(use.Version), Base: string(use.Base)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(row)
	if err != nil {
		panic(err) // Names are checked to be UTF-8 before.
	}
	return data
}

// Field numbers of the message AdapterRow in config.proto.
const (
	fieldAdapterVersion = 1
	fieldAdapterBase    = 2
)

// decodeAdapter reads a row on the path of each request, so that it takes the
// fields straight from the encoded form.
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
			use.Base = ident.Base(field)
		}
	}
	return use
}
