package config

import (
	"context"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	editIDBytes = 8

	// Limits for one commit of the head, including reads of its outcome.
	maxCommitAttempts = 8
	commitRetryDelay  = 250 * time.Millisecond
	commitTimeout     = 5 * time.Second

	// maxEditAttempts limits the attempts of an edit that loses races against
	// other writes of the head.
	maxEditAttempts = 5
)

// errHeadChanged means that another write replaced the head, so this write can no
// longer take effect.
const errHeadChanged = errors.ConstError("the configuration head was changed by another write")

// RevisionComment is the prefix of the first line of a list's text as operators
// receive it. The revision follows the prefix. The line is not stored.
const RevisionComment = "# revision: "

// List is the name of one of the operators' two lists.
type List string

// Values of List.
const (
	ListPlans      List = "plans"
	ListAllowances List = "allowances"
)

// EditorOptions configures NewFleetEditor.
type EditorOptions struct {
	Store           store.Store
	Current         func() *Snapshot // Returns the configuration in force in this process.
	HighestRevision func() Revision  // Returns the highest revision known to this process.
	Catalog         func() Catalog   // Returns the names on the VM list.
}

// Editor changes the configuration in the store.
type Editor struct {
	opts   EditorOptions
	chunks chunkStore
}

// NewEditor returns an Editor for a process without a Replica. It uses only the
// store and does not check names against the VM list.
func NewEditor(s store.Store) *Editor {
	empty := NewSnapshot(0, Plans{}, Allowances{}, nil)
	return NewFleetEditor(EditorOptions{
		Store:           s,
		Current:         func() *Snapshot { return empty },
		HighestRevision: func() Revision { return 0 },
		Catalog:         func() Catalog { return Catalog{} },
	})
}

// NewFleetEditor returns an Editor for a process that runs a Replica.
func NewFleetEditor(opts EditorOptions) *Editor {
	return &Editor{opts: opts, chunks: chunkStore{opts.Store}}
}

// editBase is the configuration that an edit starts from.
type editBase struct {
	head   head
	index  store.Index    // Store index of the head.
	top    *hashtree.Tree // The whole configuration.
	stored *hashtree.Tree // Tree whose chunks are all in the store; nil if unknown.
}

// editResult is the configuration that an edit produces from an editBase.
type editResult struct {
	tables tables
	list   List // List whose text is replaced; empty if neither text changes.
	text   string
}

// Read returns a list's text and the revision in force. If the store does not
// hold the text of that revision, Read renders the text from the configuration,
// without the operators' comments.
func (e *Editor) Read(ctx context.Context, list List) (string, Revision, error) {
	b, err := e.loadBase(ctx)
	if err != nil {
		return "", 0, err
	}
	name := hashtree.Hash(b.head.list(list).Text)
	if name == (hashtree.Hash{}) {
		text, err := renderList(list, tablesOf(b.top))
		return text, b.head.Revision, err
	}
	text, err := e.chunks.text(ctx, name)
	return text, b.head.Revision, err
}

// Check validates a list's text without applying it. It returns an *Invalid
// error for an invalid text, and ErrUnavailable if the current configuration
// cannot be read.
func (e *Editor) Check(ctx context.Context, list List, text string) error {
	b, err := e.loadBase(ctx)
	if err != nil {
		return err
	}
	_, err = e.parseList(list, text, tablesOf(b.top))
	return err
}

// Apply replaces a list and returns the new revision. The list must not have
// changed since the revision at which it was read. Errors are *Conflict,
// *Invalid, ErrUnavailable and ErrOutcomeUnknown.
func (e *Editor) Apply(ctx context.Context, list List, text string, read Revision) (Revision, error) {
	return e.applyEdit(ctx, func(b editBase) (editResult, error) {
		changed := b.head.list(list).Changed
		if read < changed || read > b.head.Revision {
			return editResult{}, &Conflict{List: list, ReadRevision: read, ListRevision: changed, CurrentRevision: b.head.Revision}
		}
		next, err := e.parseList(list, text, tablesOf(b.top))
		return editResult{tables: next, list: list, text: text}, err
	})
}

// GrantKey adds a key and returns the new revision. It returns ErrInvalid if the
// key's organisation has no plan.
func (e *Editor) GrantKey(ctx context.Context, key Key) (Revision, error) {
	return e.applyEdit(ctx, func(b editBase) (editResult, error) {
		next := tablesOf(b.top)
		if err := checkOrganisation(next, key.Organisation); err != nil {
			return editResult{}, err
		}
		keys := append(keysOf(next.keys), key)
		next.keys = keysTree(keys)
		return editResult{tables: next}, nil
	})
}

// WithdrawKey removes a key and returns the new revision. It returns ErrInvalid
// if the key is not granted.
func (e *Editor) WithdrawKey(ctx context.Context, hash ident.KeyHash) (Revision, error) {
	return e.applyEdit(ctx, func(b editBase) (editResult, error) {
		next := tablesOf(b.top)
		var kept []Key
		for _, k := range keysOf(next.keys) {
			if k.Hash != hash {
				kept = append(kept, k)
			}
		}
		if len(kept) == next.keys.Len() {
			return editResult{}, errors.WithType(errors.Errorf("no granted key has the hash %s", hash), ErrInvalid)
		}
		next.keys = keysTree(kept)
		return editResult{tables: next}, nil
	})
}

// Keys returns the granted keys and their revision.
func (e *Editor) Keys(ctx context.Context) ([]Key, Revision, error) {
	b, err := e.loadBase(ctx)
	if err != nil {
		return nil, 0, err
	}
	return keysOf(tablesOf(b.top).keys), b.head.Revision, nil
}

// loadBase returns the configuration that an edit starts from. This is the
// configuration in the store, or the one in force if the store lost data and
// holds a lower revision. It returns ErrUnavailable if another process has a
// higher revision than both.
func (e *Editor) loadBase(ctx context.Context) (editBase, error) {
	h, index, err := readHead(ctx, e.opts.Store)
	if err != nil {
		return editBase{}, err
	}
	inForce := e.opts.Current()
	highest := e.opts.HighestRevision()
	if highest > max(h.Revision, inForce.Revision()) {
		return editBase{}, errors.WithType(
			errors.Errorf("revision %d is in force on another entry; the store is at revision %d and this process at %d; try again",
				highest, h.Revision, inForce.Revision()), ErrUnavailable)
	}
	if inForce.Revision() > h.Revision {
		return regressedBase(h, index, inForce), nil
	}
	top, err := e.chunks.tree(ctx, hashtree.Hash(h.Root), inForce.top)
	return editBase{head: h, index: index, top: top, stored: top}, err
}

// regressedBase returns the configuration in force as the base of an edit, for a
// store that holds a lower revision.
func regressedBase(h head, index store.Index, inForce *Snapshot) editBase {
	revision := inForce.Revision()
	inForceHead := head{
		Revision:   revision,
		Root:       hexHash(inForce.Root()),
		Plans:      listHead{Changed: revision},
		Allowances: listHead{Changed: revision},
		Collection: h.Collection,
	}
	return editBase{head: inForceHead, index: index, top: inForce.top}
}

// applyEdit commits an edit and returns the new revision. If another write
// changes the head meanwhile, it runs the edit again on the new base, and the
// edit then checks whether it still applies. It returns ErrConflict after
// maxEditAttempts.
func (e *Editor) applyEdit(ctx context.Context, edit func(editBase) (editResult, error)) (Revision, error) {
	for range maxEditAttempts {
		revision, err := e.tryEdit(ctx, edit)
		if !errors.Is(err, errHeadChanged) {
			return revision, err
		}
	}
	return 0, ErrConflict
}

// tryEdit makes one attempt of an edit. It returns errHeadChanged if it loses the
// race against another write of the head.
func (e *Editor) tryEdit(ctx context.Context, edit func(editBase) (editResult, error)) (Revision, error) {
	b, err := e.loadBase(ctx)
	if err != nil {
		return 0, err
	}
	result, err := edit(b)
	if err != nil {
		return 0, err
	}
	top := result.tables.top()
	next := b.head
	id := ident.RandomHex(editIDBytes)
	next.addEdit(id, b.head.Revision+1)
	next.Root = hexHash(top.Hash())
	written := newChunks(top, b.stored)
	if result.list != "" {
		if err := e.addListText(ctx, &next, b, result, written); err != nil {
			return 0, err
		}
	}
	if err := e.chunks.put(ctx, written); err != nil {
		return 0, err
	}
	return e.commit(ctx, next, b.index, id)
}

// addListText sets the text of the changed list in the next head. It adds the
// chunks of the text to written, except those that the stored text already has.
func (e *Editor) addListText(
	ctx context.Context, next *head, b editBase, result editResult, written map[hashtree.Hash][]byte,
) error {
	name, textChunks := splitText(stripRevisionComment(result.text))
	*next.list(result.list) = listHead{Text: hexHash(name), Changed: next.Revision}
	storedNames, err := e.chunks.textNames(ctx, hashtree.Hash(b.head.list(result.list).Text))
	if err != nil {
		return err
	}
	for h, raw := range textChunks {
		if !storedNames[h] {
			written[h] = raw
		}
	}
	return nil
}

// newChunks returns the chunks of top that stored does not have.
func newChunks(top, stored *hashtree.Tree) map[hashtree.Hash][]byte {
	out := make(map[hashtree.Hash][]byte)
	top.EachNewChunk(stored, func(h hashtree.Hash, raw []byte) bool {
		out[h] = raw
		return true
	})
	return out
}

// commit swaps the head and returns the new revision. If the store does not
// return the outcome of the swap, commit reads the head back. The head lists the
// recent edits, so the edit is found there even if a later one followed.
func (e *Editor) commit(ctx context.Context, next head, prev store.Index, id string) (Revision, error) {
	value := encodeJSON(next)
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomeUnknown := false
	for range maxCommitAttempts {
		ok, err := e.opts.Store.CompareAndSwap(commitCtx, headKey, value, prev)
		if err == nil && ok {
			return next.Revision, nil
		}
		if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) && !outcomeUnknown {
			return 0, errors.WithType(err, ErrUnavailable)
		}
		outcomeUnknown = outcomeUnknown || err != nil
		revision, resolved, err := e.resolveOutcome(commitCtx, id, prev)
		if resolved {
			return revision, err
		}
		_ = sleep.For(commitCtx, commitRetryDelay)
	}
	return 0, ErrOutcomeUnknown
}

// resolveOutcome reads back whether the edit with the given id took effect. It
// returns errHeadChanged if the edit can no longer take effect. The second result
// is false if the write may still be in flight or the store is unreachable.
func (e *Editor) resolveOutcome(ctx context.Context, id string, prev store.Index) (Revision, bool, error) {
	stored, index, err := readHead(ctx, e.opts.Store)
	if err != nil {
		return 0, false, nil
	}
	if revision, ok := stored.revisionOf(id); ok {
		return revision, true, nil
	}
	if index == prev {
		return 0, false, nil
	}
	return 0, true, errHeadChanged
}

// stripRevisionComment removes the first line of a text if it starts with
// RevisionComment.
func stripRevisionComment(text string) string {
	if !strings.HasPrefix(text, RevisionComment) {
		return text
	}
	_, list, _ := strings.Cut(text, "\n")
	return list
}

// renderList returns the YAML text of a list, generated from the tables.
func renderList(list List, t tables) (string, error) {
	var v any
	var err error
	if list == ListPlans {
		v, err = plansOf(t.plans)
	} else {
		v, err = allowancesOf(t.allowances)
	}
	if err != nil {
		return "", err
	}
	data, err := yaml.Marshal(v)
	return string(data), errors.Trace(err)
}
