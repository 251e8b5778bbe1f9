package keeper

import (
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/protocol/dgram"
)

// paused reports whether the engine has asked for no calls at this time.
func (k *Keeper) paused() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.pausedUntil)
}

// recordPause records the pause that an error of a call to the engine asks for, and reports
// whether it asks for one. The caller holds mu.
func (k *Keeper) recordPause(err error) bool {
	var pe *PauseError
	if !errors.As(err, &pe) {
		return false
	}
	if until := time.Now().Add(pe.Pause); until.After(k.pausedUntil) {
		k.pausedUntil = until
		k.log.WithFields(logrus.Fields{"status": pe.Status, "pause_ms": pe.Pause.Milliseconds(), "born": k.report.Incarnation}).Info("the engine asks for a pause; it gets no calls and no orders meanwhile")
	}
	return true
}

// maxIncarnations bounds the incarnations of the engine that are known.
const maxIncarnations = 8

// endPauseOfOldIncarnation ends the pause once a gateway names an incarnation of the engine that this
// keeper hasn't met, which never asked for it. Each ends one pause at most, because a gateway may name
// an earlier one.
func (k *Keeper) endPauseOfOldIncarnation(req *dgram.KeeperRequest) {
	if k.report.Incarnation == 0 || req.Incarnation == 0 || !k.meet(req.Incarnation) {
		return
	}
	k.pausedUntil = time.Time{}
}

// meet records an incarnation of the engine and reports whether it is new.
func (k *Keeper) meet(incarnation int64) bool {
	if slices.Contains(k.incarnations, incarnation) {
		return false
	}
	k.incarnations = append(k.incarnations[max(0, len(k.incarnations)+1-maxIncarnations):], incarnation)
	return true
}
