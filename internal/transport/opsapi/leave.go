package opsapi

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"chervilhead/internal/protocol/openai"
	"chervilhead/internal/protocol/wire"
	"chervilhead/internal/state/fault"
)

// postLeave tells one process to leave; it ends its work in flight first. The
// answer is the process's status.
func (a *API) postLeave(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	h, ok := a.members.View().Host(id)
	if !ok {
		openai.WriteError(w, fault.New(fault.NotFound, "host_not_found", fmt.Sprintf("host %q is not in the host list", id), "see the ids in /admin/v1/status"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	link, err := a.pool.Get(ctx, h.Address)
	var s wire.Status
	if err == nil {
		err = link.Call(ctx, wire.MethodLeave, struct{}{}, &s)
	}
	if err != nil {
		openai.WriteError(w, fault.New(fault.Unavailable, fault.CodePeerUnreachable, fmt.Sprintf("host %q does not answer", id), "send the order again or stop the process with a signal"))
		return
	}
	a.log.WithField("host", id).Info("host was told to leave")
	reply(w, http.StatusOK, s)
}
