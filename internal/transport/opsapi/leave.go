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

// postLeave tells a process to leave, which finishes its work in flight first. The reply
// is the status of the process.
func (a *API) postLeave(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	h, ok := a.members.View().Host(id)
	if !ok {
		openai.WriteError(w, fault.New(fault.NotFound, "host_not_found", fmt.Sprintf("host %q is not in the host list", id), "see /admin/v1/status for the ids of the hosts"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	conn, err := a.pool.Get(ctx, h.Address)
	var s wire.Status
	if err == nil {
		err = conn.Call(ctx, wire.MethodLeave, struct{}{}, &s)
	}
	if err != nil {
		openai.WriteError(w, fault.New(fault.Unavailable, fault.CodePeerUnreachable, fmt.Sprintf("host %q does not answer", id), "send the request again or stop the process with a signal"))
		return
	}
	a.log.WithField("host", id).Info("host was told to leave")
	writeJSON(w, http.StatusOK, s)
}
