package config

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
)

const (
	// headKey is the store key of the head, the only commit point of the
	// configuration.
	headKey = "config/head"
	// chunkPrefix is the prefix of the store keys of chunks.
	chunkPrefix = "config/chunk/"
	// maxRecentEdits limits the edits that the head lists.
	maxRecentEdits = 32
)

// Errors of this package.
const (
	// ErrConflict means that another edit was committed between the read and the
	// write of an edit.
	ErrConflict = errors.ConstError("configuration changed since it was read")
	// ErrInvalid means that a list or a name is not valid.
	ErrInvalid = errors.ConstError("not accepted")
	// ErrUnavailable means that the store is unreachable, or that a revision is in
	// force elsewhere that this process does not have. Nothing changed.
	ErrUnavailable = errors.ConstError("configuration cannot be changed now")
	// ErrOutcomeUnknown means that an edit may have taken effect and that the store
	// does not respond. The same edit can be retried.
	ErrOutcomeUnknown = errors.ConstError("outcome of the edit unknown")
	// ErrCorrupt means that stored data cannot be decoded as a configuration.
	ErrCorrupt = errors.ConstError("corrupt configuration")
)

// head is the value of headKey. Everything that it refers to is immutable.
type head struct {
	Revision   Revision     `json:"revision"`
	Root       hexHash      `json:"root"`       // Root hash of the configuration tree.
	Plans      listHead     `json:"plans"`      // Operators' text of the plans list.
	Allowances listHead     `json:"allowances"` // Operators' text of the allowances list.
	Edits      []editRecord `json:"edits"`      // Most recent edits, newest last.
	Collection uint64       `json:"collection"` // Incremented before a collection deletes chunks, so that edits in progress fail.
}

// listHead refers to the text of one list.
type listHead struct {
	Text    hexHash  `json:"text"`    // Name of the first chunk of the text; zero if only the tree is stored.
	Changed Revision `json:"changed"` // Revision that last changed the list.
}

// editRecord identifies one committed edit.
type editRecord struct {
	ID       string   `json:"id"` // Random and unique.
	Revision Revision `json:"revision"`
}

func (h *head) list(list List) *listHead {
	if list == ListPlans {
		return &h.Plans
	}
	return &h.Allowances
}

// addEdit sets the revision of h and appends the edit that produces it. It keeps
// the last maxRecentEdits edits.
func (h *head) addEdit(id string, revision Revision) {
	h.Revision = revision
	h.Edits = append(slices.Clone(h.Edits), editRecord{id, revision})
	if len(h.Edits) > maxRecentEdits {
		h.Edits = h.Edits[len(h.Edits)-maxRecentEdits:]
	}
}

// revisionOf returns the revision that the edit with the given id produced. It
// returns false if the edit is not among the recent ones.
func (h *head) revisionOf(id string) (Revision, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e.Revision, true
		}
	}
	return 0, false
}

// decodeHead decodes the value of headKey. It returns ErrCorrupt for an invalid
// value.
func decodeHead(data []byte) (head, error) {
	var h head
	if err := json.Unmarshal(data, &h); err != nil {
		return head{}, errors.WithType(err, ErrCorrupt)
	}
	return h, nil
}

// readHead returns the head and its store index. The index is 0 if the store has
// no head. Errors are ErrUnavailable and ErrCorrupt.
func readHead(ctx context.Context, s store.Store) (head, store.Index, error) {
	entry, err := s.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, errors.WithType(errors.Annotate(err, "the configuration store does not answer"), ErrUnavailable)
	}
	h, err := decodeHead(entry.Value)
	return h, entry.Index, err
}

// hexHash is a hash that is encoded in hexadecimal in the head.
type hexHash hashtree.Hash

// MarshalText implements encoding.TextMarshaler.
func (h hexHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(hashtree.Hash(h).Bytes())), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hexHash) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil {
		return errors.WithType(err, ErrCorrupt)
	}
	parsed, err := hashtree.ParseHash(data)
	*h = hexHash(parsed)
	return err
}
