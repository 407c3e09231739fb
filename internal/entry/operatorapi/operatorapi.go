// Package operatorapi implements the HTTP API for operators, which hyssopctl
// uses: lists of the configuration, keys, the fleet's timeline and its status.
//
// Each request must carry the operators' token. Errors are returned as an
// ErrorBody in the field "error".
package operatorapi

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	maxListBytes = 64 << 20 // Maximum size of a list's text.
	// HeaderRevision carries the revision of a list that was read.
	HeaderRevision = "Hyssop-Revision"
)

// Options configures NewHandler.
type Options struct {
	VM        ident.VM
	Editor    *config.Editor
	Survey    *config.Survey
	Config    func() *config.Snapshot // Returns the configuration in force.
	Providers Providers
	Timeline  http.Handler   // Serves the fleet's timeline.
	Ring      *timeline.Ring // Events of this process.
	Token     string         // Bearer token of the operators.
}

type handler struct {
	opts Options
}

// NewHandler returns the HTTP handler of the API.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts: opts}
	router := chi.NewRouter()
	router.Use(h.authenticate)
	router.Get("/lists/{list}", h.getList)
	router.Post("/lists/{list}/check", h.checkList)
	router.Put("/lists/{list}", h.applyList)
	router.Get("/keys/{organisation}", h.listKeys)
	router.Post("/keys/{organisation}", h.grantKey)
	router.Delete("/keys/{organisation}", h.withdrawKey)
	router.Delete("/keys/{organisation}/{hash}", h.withdrawKey)
	router.Method(http.MethodGet, "/timeline", opts.Timeline)
	router.Get("/status", h.getStatus)
	return router
}

func (h *handler) authenticate(next http.Handler) http.Handler {
	expected := []byte("Bearer " + h.opts.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(given, expected) != 1 {
			writeError(w, http.StatusUnauthorized, "unauthorized", "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// listOf returns the list in the request's path and whether it exists.
func listOf(r *http.Request) (config.List, bool) {
	list := config.List(chi.URLParam(r, "list"))
	return list, list == config.ListPlans || list == config.ListAllowances
}

func (h *handler) getList(w http.ResponseWriter, r *http.Request) {
	list, ok := listOf(r)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_list", "unknown list; the lists are plans and allowances")
		return
	}
	text, revision, err := h.opts.Editor.Read(r.Context(), list)
	if err != nil {
		writeConfigError(w, err)
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = io.WriteString(w, text)
}

func (h *handler) checkList(w http.ResponseWriter, r *http.Request) {
	list, text, ok := h.readList(w, r)
	if !ok {
		return
	}
	if err := h.opts.Editor.Check(r.Context(), list, text); err != nil {
		writeConfigError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}

type revisionBody struct {
	Revision config.Revision `json:"revision"`
}

// applyList replaces a list if its revision is still the one in HeaderRevision.
func (h *handler) applyList(w http.ResponseWriter, r *http.Request) {
	list, text, ok := h.readList(w, r)
	if !ok {
		return
	}
	baseRevision, err := strconv.ParseUint(r.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "missing_revision",
			"header "+HeaderRevision+" must hold the revision of the list that was edited")
		return
	}
	revision, err := h.opts.Editor.Apply(r.Context(), list, text, config.Revision(baseRevision))
	if err != nil {
		writeConfigError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, revisionBody{revision})
}

// readList returns the list in the request's path and the text in its body. It
// responds with an error and returns false if either is invalid.
func (h *handler) readList(w http.ResponseWriter, r *http.Request) (config.List, string, bool) {
	list, ok := listOf(r)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_list", "unknown list; the lists are plans and allowances")
		return "", "", false
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxListBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large",
			fmt.Sprintf("the list could not be read or exceeds the maximum of %d bytes", maxListBytes))
		return "", "", false
	}
	return list, string(data), true
}

// ErrorBody is the error in an unsuccessful response.
type ErrorBody struct {
	Code            string           `json:"code"`
	Message         string           `json:"message"`
	Problems        []config.Problem `json:"problems,omitempty"` // Problems found in a list.
	BaseRevision    config.Revision  `json:"read,omitempty"`     // Of a conflict: the revision that the edit was based on.
	CurrentRevision config.Revision  `json:"now,omitempty"`      // Of a conflict: the revision in force.
}

// writeConfigError maps an error of package config to a response.
func writeConfigError(w http.ResponseWriter, err error) {
	body := ErrorBody{Code: "unavailable", Message: err.Error()}
	status := http.StatusServiceUnavailable
	var conflict *config.Conflict
	var invalidList *config.Invalid
	switch {
	case errors.As(err, &conflict):
		status, body.Code = http.StatusConflict, "conflict"
		body.BaseRevision, body.CurrentRevision = conflict.ReadRevision, conflict.CurrentRevision
	case errors.Is(err, config.ErrConflict):
		status, body.Code = http.StatusConflict, "conflict"
	case errors.As(err, &invalidList):
		status, body.Code = http.StatusUnprocessableEntity, "invalid"
		body.Problems = invalidList.Problems
	case errors.Is(err, config.ErrInvalid):
		status, body.Code = http.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, config.ErrOutcomeUnknown):
		body.Code = "outcome_unknown"
	}
	writeErrorBody(w, status, body)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeErrorBody(w, status, ErrorBody{Code: code, Message: message})
}

func writeErrorBody(w http.ResponseWriter, status int, body ErrorBody) {
	writeJSON(w, status, struct {
		Error ErrorBody `json:"error"`
	}{body})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
