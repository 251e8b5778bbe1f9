package testbed

import "time"

// Kill ends the incarnation at once; its registration lapses after three heartbeat intervals.
func (e *Endpoint) Kill() {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.kill()
}

// kill is Kill for a caller that holds lifecycle.
func (e *Endpoint) kill() {
	e.kills++
	e.mu.Lock()
	id, incarnation := e.id, e.incarnation
	e.cancel()
	srv := e.srv
	e.ended = true
	e.updateServing()
	e.mu.Unlock()
	_ = srv.Close()
	e.wg.Wait()
	time.AfterFunc(3*e.cfg.HeartbeatInterval, func() {
		if !e.succeeded(id, incarnation) {
			e.store.Unregister(id)
		}
	})
}

// succeeded reports whether a later incarnation uses an incarnation's id.
func (e *Endpoint) succeeded(id string, incarnation int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id == id && e.incarnation != incarnation
}
