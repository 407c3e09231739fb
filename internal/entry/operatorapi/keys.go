package operatorapi

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
	keyBytes      = 24 // Random bytes of a key.
	keyHashDigits = 64 // Hexadecimal digits of a key's hash.
	// minHashPrefix is the minimum number of digits that identify a key.
	minHashPrefix = 4
	// maxWithdrawWait bounds how long a withdrawal waits for the entries'
	// confirmations that it is in force.
	maxWithdrawWait = 5 * time.Second
)

// grantBody is the response to the grant of a key.
type grantBody struct {
	Key      string          `json:"key"` // Returned only here; the configuration stores only the hash.
	Hash     ident.KeyHash   `json:"hash"`
	Revision config.Revision `json:"revision"`
}

// KeyRow is one granted key in the response that lists keys.
type KeyRow struct {
	Hash         ident.KeyHash      `json:"hash"`
	Organisation ident.Organisation `json:"organisation"`
}

func (h *handler) listKeys(w http.ResponseWriter, r *http.Request) {
	keys, _, err := h.keysOf(r)
	if err != nil {
		writeConfigError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, keys)
}

// keysOf returns the keys of the organisation in the request's path and the
// revision of the configuration.
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

func (h *handler) grantKey(w http.ResponseWriter, r *http.Request) {
	org := ident.Organisation(chi.URLParam(r, "organisation"))
	key := ident.RandomHex(keyBytes)
	hash := ident.HashKey(key)
	revision, err := h.opts.Editor.GrantKey(r.Context(), config.Key{Hash: hash, Organisation: org})
	if err != nil {
		writeConfigError(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, grantBody{Key: key, Hash: hash, Revision: revision})
}

// withdrawKey withdraws a key. It responds when all entries have confirmed that
// the withdrawal is in force, or after maxWithdrawWait. For a key that is
// already withdrawn, it only waits for the confirmations.
func (h *handler) withdrawKey(w http.ResponseWriter, r *http.Request) {
	keys, revision, err := h.keysOf(r)
	if err != nil {
		writeConfigError(w, err)
		return
	}
	given := chi.URLParam(r, "hash")
	hash, granted, err := resolveKey(keys, given)
	if err != nil {
		writeConfigError(w, err)
		return
	}
	if granted {
		if revision, err = h.opts.Editor.WithdrawKey(r.Context(), hash); err != nil {
			writeConfigError(w, err)
			return
		}
		h.opts.Ring.Record(timeline.Event{
			Kind: timeline.KindKeyWithdrawn, Organisation: ident.Organisation(chi.URLParam(r, "organisation")),
			Detail: "revision " + revision.String(),
		})
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	writeJSON(w, http.StatusOK, h.opts.Survey.WaitWithdrawn(r.Context(), hash, revision, maxWithdrawWait))
}

// resolveKey returns the hash of the key that an operator identifies by its
// hash or by a prefix of it, and whether the key is granted. The prefix may be
// empty if the organisation has exactly one key. A complete hash that is not
// granted is treated as that of a withdrawn key.
func resolveKey(keys []KeyRow, given string) (ident.KeyHash, bool, error) {
	var found []ident.KeyHash
	for _, k := range keys {
		if strings.HasPrefix(string(k.Hash), given) {
			found = append(found, k.Hash)
		}
	}
	switch {
	case given != "" && len(given) < minHashPrefix:
		return "", false, invalid("key hash prefix %q is too short: give at least %d characters", given, minHashPrefix)
	case len(found) == 1:
		return found[0], true, nil
	case len(found) > 1:
		return "", false, invalid(
			"%d keys of the organisation have a hash that begins with %.64q; see keys list", len(found), given)
	case len(given) == keyHashDigits:
		return ident.KeyHash(given), false, nil
	case given == "":
		return "", false, invalid("the organisation has no key to withdraw")
	default:
		return "", false, invalid("no key of the organisation has a hash that begins with %.64q", given)
	}
}

func invalid(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), config.ErrInvalid)
}
