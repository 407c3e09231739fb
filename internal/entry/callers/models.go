package callers

import (
	"encoding/json"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// modelRow is one model in the OpenAI format, with the adapter's version added.
type modelRow struct {
	ID      ident.Adapter `json:"id"`
	Object  string        `json:"object"`
	OwnedBy string        `json:"owned_by"`
	Version ident.Version `json:"version"`
}

// modelList is the list of models in the OpenAI format.
type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

// serveModels lists the adapters in the plan of the caller's organisation, and no
// others.
func (h *handler) serveModels(w http.ResponseWriter, r *http.Request) {
	c := h.newCall(w, r)
	if refused := h.authenticate(c); refused != nil {
		h.refuse(c, refused)
		return
	}
	adapters := c.config.Adapters(c.limits.Organisation)
	list := modelList{Object: "list", Data: make([]modelRow, 0, len(adapters))}
	for _, adapter := range adapters {
		list.Data = append(list.Data, modelRow{
			ID: adapter.Name, Object: "model", OwnedBy: string(c.limits.Organisation), Version: adapter.Version,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	h.metrics.responses.Inc(1)
}
