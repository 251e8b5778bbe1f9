package keeper

import (
	"time"

	"chervilhead/internal/protocol/dgram"
	"chervilhead/internal/state/poison"
)

// maxRetoldBytes bounds the crash reports that a gateway gets when it subscribes: some datagrams.
const maxRetoldBytes = 64 << 10

// mergeCrashes merges a gateway's crash reports and passes those that are news on to all.
func (k *Keeper) mergeCrashes(m *dgram.CrashReports, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var news []poison.CrashReport
	for _, r := range m.Decoded() {
		if k.suspects.Add(r, now) {
			news = append(news, r)
		}
	}
	for _, s := range k.subscribers {
		k.sendCrashes(news, s)
	}
}

// sendCrashes sends crash reports to a gateway; the caller holds mu.
func (k *Keeper) sendCrashes(reports []poison.CrashReport, to *subscriber) {
	for _, m := range dgram.NewCrashReports(reports) {
		data, err := dgram.Encode(m)
		if err == nil {
			_, err = k.conn.WriteTo(data, to.addr)
		}
		if err != nil {
			k.log.WithError(err).WithField("gateway", to.addr.String()).Debug("crash reports were not sent")
		}
	}
}
