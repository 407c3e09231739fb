// Package operators is the HTTP interface to operators, which hyssopctl uses.
package operators

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
	maxListBytes = 64 << 20
	// HeaderRevision carries a list's revision.
	HeaderRevision = "Hyssop-Revision"
)

// Options configures NewHandler.
type Options struct {
	VM        ident.VM
	Editor    *config.Editor
	Survey    *config.Survey
	Config    func() *config.Snapshot
	Providers Providers
	Timeline  http.Handler   // Serves the events of the fleet.
	Ring      *timeline.Ring // Events of this process.
	Token     string         // Credential that operators show as a bearer token.
}

type handler struct {
	opts Options
}

// NewHandler returns the operators' HTTP handler.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts: opts}
	router := chi.NewRouter()
	router.Use(h.authenticate)
	router.Get("/lists/{list}", h.get)
	router.Post("/lists/{list}/check", h.check)
	router.Put("/lists/{list}", h.apply)
	router.Get("/keys/{organisation}", h.listKeys)
	router.Post("/keys/{organisation}", h.grant)
	router.Delete("/keys/{organisation}", h.withdraw)
	router.Delete("/keys/{organisation}/{hash}", h.withdraw)
	router.Method(http.MethodGet, "/timeline", opts.Timeline)
	router.Get("/status", h.status)
	return router
}

func (h *handler) authenticate(next http.Handler) http.Handler {
	want := []byte("Bearer " + h.opts.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(given, want) != 1 {
			writeError(w, http.StatusUnauthorized, "unauthorized", "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func listOf(r *http.Request) (config.List, bool) {
	list := config.List(chi.URLParam(r, "list"))
	return list, list == config.ListPlans || list == config.ListAllowances
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	list, ok := listOf(r)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_list", "the lists are plans and allowances")
		return
	}
	text, revision, err := h.opts.Editor.Read(r.Context(), list)
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = io.WriteString(w, text)
}

func (h *handler) check(w http.ResponseWriter, r *http.Request) {
	list, text, ok := h.readList(w, r)
	if !ok {
		return
	}
	if err := h.opts.Editor.Check(r.Context(), list, text); err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		OK bool `json:"ok"`
	}{true})
}

type revisionBody struct {
	Revision config.Revision `json:"revision"`
}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	list, text, ok := h.readList(w, r)
	if !ok {
		return
	}
	read, err := strconv.ParseUint(r.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "missing_revision", "give the revision that was read in "+HeaderRevision)
		return
	}
	revision, err := h.opts.Editor.Apply(r.Context(), list, text, config.Revision(read))
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, revisionBody{revision})
}

func (h *handler) readList(w http.ResponseWriter, r *http.Request) (config.List, string, bool) {
	list, ok := listOf(r)
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_list", "the lists are plans and allowances")
		return "", "", false
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxListBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("a list has at most %d bytes", maxListBytes))
		return "", "", false
	}
	return list, string(data), true
}

// ErrorBody is the error in an answer that is no success.
type ErrorBody struct {
	Code     string           `json:"code"`
	Message  string           `json:"message"`
	Problems []config.Problem `json:"problems,omitempty"` // What is wrong with a list.
	Read     config.Revision  `json:"read,omitempty"`     // In a conflict: what the edit was based on.
	Now      config.Revision  `json:"now,omitempty"`      // In a conflict: what is in force.
}

// writeFailure answers with an error of the configuration.
func writeFailure(w http.ResponseWriter, err error) {
	body := ErrorBody{Code: "unavailable", Message: err.Error()}
	status := http.StatusServiceUnavailable
	var conflict *config.Conflict
	var problems *config.Invalid
	switch {
	case errors.As(err, &conflict):
		status, body.Code = http.StatusConflict, "conflict"
		body.Read, body.Now = conflict.Read, conflict.Now
	case errors.Is(err, config.ErrConflict):
		status, body.Code = http.StatusConflict, "conflict"
	case errors.As(err, &problems):
		status, body.Code = http.StatusUnprocessableEntity, "invalid"
		body.Problems = problems.Problems
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
