package entry

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/state/table"
)

func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	c, ferr := e.authenticate(r)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, m := range c.view.table.Models {
		if m.Allows(c.group.Name) {
			list.Data = append(list.Data, modelObject(m))
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	c, ferr := e.authenticate(r)
	if ferr != nil {
		openai.WriteError(w, ferr)
		return
	}
	name, _ := url.PathUnescape(mux.Vars(r)["model"])
	m, ok := c.view.table.Model(name)
	if !ok || !m.Allows(c.group.Name) {
		openai.WriteError(w, errNoModel(name))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelObject(m))
}

func modelObject(m table.Model) openai.Model {
	return openai.Model{ID: m.Name, Object: "model", OwnedBy: "chervilhead", Parent: m.Base}
}
