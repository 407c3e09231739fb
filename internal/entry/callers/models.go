package callers

import (
	"encoding/json"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

type modelRow struct {
	ID      ident.Adapter `json:"id"`
	Object  string        `json:"object"`
	OwnedBy string        `json:"owned_by"`
	Version ident.Version `json:"version"`
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

// models lists what the organisation's plan names, and nothing else.
func (h *handler) models(w http.ResponseWriter, r *http.Request) {
	c := h.begin(w, r)
	if refused := h.authenticate(c); refused != nil {
		h.refuse(c, refused)
		return
	}
	uses := c.config.Adapters(c.tenant.Organisation)
	list := modelList{Object: "list", Data: make([]modelRow, 0, len(uses))}
	for _, use := range uses {
		list.Data = append(list.Data, modelRow{
			ID: use.Name, Object: "model", OwnedBy: string(c.tenant.Organisation), Version: use.Version,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	h.metrics.answers.Inc(1)
}
