package operators

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	keyBytes     = 24
	keyHashBytes = 64 // In hexadecimal.
	// minHashPrefix is the least of a hash that names a key.
	minHashPrefix = 4
)

type grantBody struct {
	Key      string          `json:"key"` // Shown once; only its hash is kept.
	Hash     ident.KeyHash   `json:"hash"`
	Revision config.Revision `json:"revision"`
}

// KeyRow is one granted key as operators see it.
type KeyRow struct {
	Hash         ident.KeyHash      `json:"hash"`
	Organisation ident.Organisation `json:"organisation"`
}

func (h *handler) listKeys(w http.ResponseWriter, r *http.Request) {
	keys, _, err := h.keysOf(r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, keys)
}

// keysOf returns the keys of the organisation that the path names.
func (h *handler) keysOf(r *http.Request) ([]KeyRow, config.Revision, error) {
	org := ident.Organisation(chi.URLParam(r, "organisation"))
	keys, revision, err := h.opts.Editor.Keys(r.Context())
	if err != nil {
		return nil, 0, err
	}
	out := []KeyRow{}
	for _, k := range keys {
		if k.Organisation == org {
			out = append(out, KeyRow{k.Hash, k.Organisation})
		}
	}
	return out, revision, nil
}

func (h *handler) grant(w http.ResponseWriter, r *http.Request) {
	org := ident.Organisation(chi.URLParam(r, "organisation"))
	key := ident.NewToken(keyBytes)
	hash := ident.HashKey(key)
	revision, err := h.opts.Editor.GrantKey(r.Context(), config.Key{Hash: hash, Organisation: org})
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, grantBody{Key: key, Hash: hash, Revision: revision})
}

// withdraw withdraws a key and answers when every entry has said that it is in
// force, or when withdrawLimit has passed. A key that is withdrawn already is
// asked about again.
func (h *handler) withdraw(w http.ResponseWriter, r *http.Request) {
	keys, revision, err := h.keysOf(r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	given := chi.URLParam(r, "hash")
	hash, granted, err := chooseKey(keys, given)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if granted {
		if revision, err = h.opts.Editor.WithdrawKey(r.Context(), hash); err != nil {
			writeFailure(w, err)
			return
		}
		h.opts.Ring.Record(timeline.Event{
			Kind: timeline.KindKeyWithdrawn, Organisation: ident.Organisation(chi.URLParam(r, "organisation")),
			Detail: "revision " + revision.String(),
		})
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	writeJSON(w, http.StatusOK, h.opts.Survey.WaitWithdrawn(r.Context(), hash, revision, withdrawLimit))
}

// chooseKey finds the key that an operator names by its hash, the beginning of
// it, or nothing where the organisation has one key. A whole hash that is not
// granted is taken for one that was withdrawn before.
func chooseKey(keys []KeyRow, given string) (ident.KeyHash, bool, error) {
	var found []ident.KeyHash
	for _, k := range keys {
		if strings.HasPrefix(string(k.Hash), given) {
			found = append(found, k.Hash)
		}
	}
	switch {
	case given != "" && len(given) < minHashPrefix:
		return "", false, invalid("give at least %d characters of the key's hash", minHashPrefix)
	case len(found) == 1:
		return found[0], true, nil
	case len(found) > 1:
		return "", false, invalid("%d keys of the organisation match; see keys list", len(found))
	case len(given) == keyHashBytes:
		return ident.KeyHash(given), false, nil
	case given == "":
		return "", false, invalid("the organisation has no key")
	default:
		return "", false, invalid("no key of the organisation has a hash that begins with %.64q", given)
	}
}

func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), config.ErrInvalid)
}
