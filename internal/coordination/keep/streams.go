package keep

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/resume"
)

const (
	streamPrefix = "streams/"
	// maxRowKeys and maxRowWrites bound the streams of one row and how often it is written again, so
	// that a stream is written a few times only. 512 streams take 11 KB on the wire.
	maxRowKeys   = 512
	maxRowWrites = 16
	// maxRows bounds the rows of one process: resume.MaxRecords streams.
	maxRows = resume.MaxRecords / maxRowKeys
	// rowTTL is how long a row is kept after its last write.
	rowTTL = resume.RecordTTL + 5*time.Second
	// maxCallRows bounds the rows of one call to a quarter of what the store takes.
	maxCallRows = 24
	// refreshAfter is the time after which a stream that is put again is written again.
	refreshAfter = resume.RecordTTL / 3
	// retryDelay is the pause after a call of the store that failed. It doubles with each further one,
	// up to maxRetryDelay.
	retryDelay    = 400 * time.Millisecond
	maxRetryDelay = 3200 * time.Millisecond
)

// Streams keeps records of streams in the store's rows. A write takes what came since the last one, so
// that the writes a second don't depend on the streams. At 1,600 streams a second one process keeps
// 110 rows, 1.2 MB on the wire. It is safe for concurrent use.
type Streams struct {
	table  store.TableService
	prefix string
	log    *logrus.Entry

	mu   sync.Mutex
	rows []streamRow
	// current is the row that takes further streams.
	current int
	// putAt is when each record was put last.
	putAt map[resume.Record]time.Time
	// era is that of the store at the last write.
	era    uint64
	loaded bool
	wake   chan struct{}
	// unwritten are closed by the next write that leaves no row behind.
	unwritten []chan struct{}
}

// streamRow is one row of this process.
type streamRow struct {
	streams map[resume.Record]struct{}
	// writes counts the writes, and addedAt is when streams were added last.
	writes  int
	addedAt time.Time
	// dirty is set while the store may not hold the streams, and stored while it holds a row.
	dirty, stored bool
}

// wireStreams is the value of a row.
type wireStreams struct {
	Streams []wireVersionStreams `json:"streams"`
	stamp
}

// wireVersionStreams are the streams of one version of a service.
type wireVersionStreams struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Keys are the keys of the records, eight bytes each.
	Keys []byte `json:"keys"`
	// Revisions are those of the records, in the order of Keys, four bytes each.
	Revisions []byte `json:"revisions,omitempty"`
	// Doubtful is set if the streams may be of another version.
	Doubtful bool `json:"doubtful,omitempty"`
}

// NewStreams returns the records of a process, which writes rows under its name.
func NewStreams(table store.TableService, process string, log *logrus.Entry) *Streams {
	return &Streams{table: table, prefix: streamPrefix + process + "/", log: log, rows: make([]streamRow, 1), putAt: map[resume.Record]time.Time{}, wake: make(chan struct{}, 1)}
}

// Put adds records, which the next write holds. The channel is closed once the store has them.
func (s *Streams) Put(recs []resume.Record, now time.Time) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unwritten) == 0 {
		s.unwritten = append(s.unwritten, make(chan struct{}))
	}
	written := s.unwritten[len(s.unwritten)-1]
	added := false
	for _, rec := range recs {
		if at, ok := s.putAt[rec]; ok && now.Sub(at) < refreshAfter {
			continue
		}
		s.putAt[rec] = now
		s.addRow(now)
		row := &s.rows[s.current]
		if row.streams == nil {
			row.streams = map[resume.Record]struct{}{}
		}
		row.streams[rec] = struct{}{}
		row.addedAt, row.dirty, added = now, true, true
	}
	if added || !s.dirty() {
		s.signal()
	}
	return written
}

// dirty reports whether the store may lack a row; the caller holds mu.
func (s *Streams) dirty() bool {
	return slices.ContainsFunc(s.rows, func(r streamRow) bool { return r.dirty })
}

func (s *Streams) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// addRow moves on to another row once the current one is full: a free one, or the oldest if there are
// too many. The caller holds mu.
func (s *Streams) addRow(now time.Time) {
	if row := s.rows[s.current]; len(row.streams) < maxRowKeys && row.writes < maxRowWrites {
		return
	}
	oldest := 0
	for i, r := range s.rows {
		if now.Sub(r.addedAt) >= rowTTL && !r.dirty {
			oldest = i
			break
		}
		if r.addedAt.Before(s.rows[oldest].addedAt) {
			oldest = i
		}
	}
	switch {
	case now.Sub(s.rows[oldest].addedAt) >= rowTTL || len(s.rows) >= maxRows:
		s.current = oldest
		s.rows[oldest] = streamRow{stored: s.rows[oldest].stored}
	default:
		s.current = len(s.rows)
		s.rows = append(s.rows, streamRow{})
	}
}

// Run writes records until the context ends, at most once in an interval; the first one after a pause
// is written at once. Load must have been called, so that no row of an earlier process is written over.
func (s *Streams) Run(ctx context.Context, interval func() time.Duration) {
	failures := 0
	for ctx.Err() == nil {
		select {
		case <-s.wake:
		case <-time.After(rowTTL):
		case <-ctx.Done():
			return
		}
		if err := s.write(ctx, time.Now()); err != nil {
			s.log.WithError(err).Debug("the records of streams were not written")
			s.signal()
			failures++
			sleep(ctx, delayAfter(failures))
			continue
		}
		failures = 0
		sleep(ctx, interval())
	}
}

// write writes the rows with further streams and deletes those that have expired.
func (s *Streams) write(ctx context.Context, now time.Time) error {
	at := storeTime(s.table)
	s.mu.Lock()
	if at.Era != s.era {
		// The store was restored from a copy that may lack the last writes.
		for i := range s.rows {
			s.rows[i].dirty = s.rows[i].dirty || len(s.rows[i].streams) > 0 && now.Sub(s.rows[i].addedAt) < rowTTL
		}
		s.era = at.Era
	}
	var txn store.Txn
	var written, deleted []int
	for i := range s.rows {
		row := &s.rows[i]
		switch {
		case len(txn.Writes) >= maxCallRows:
			s.signal()
		case row.dirty:
			row.dirty = false
			row.writes++
			written = append(written, i)
			txn.Writes = append(txn.Writes, store.Write{Key: s.key(i), Value: row.encode(newStamp(at))})
		case now.Sub(row.addedAt) >= rowTTL && row.stored:
			deleted = append(deleted, i)
			txn.Writes = append(txn.Writes, store.Write{Key: s.key(i), Delete: true})
		}
	}
	s.dropExpired(now)
	var waiting []chan struct{}
	if !s.dirty() {
		waiting, s.unwritten = s.unwritten, nil
	}
	s.mu.Unlock()
	var err error
	if len(txn.Writes) > 0 {
		_, err = s.table.Commit(ctx, txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unwritten = append(waiting, s.unwritten...)
	} else {
		for _, c := range waiting {
			close(c)
		}
	}
	for _, i := range written {
		s.rows[i].stored = true
		s.rows[i].dirty = s.rows[i].dirty || err != nil
	}
	for _, i := range deleted {
		if err == nil && now.Sub(s.rows[i].addedAt) >= rowTTL {
			s.rows[i] = streamRow{}
		}
	}
	if storeTime(s.table).Era != s.era {
		s.signal()
	}
	return err
}

// dropExpired forgets when expired streams were put; the caller holds mu.
func (s *Streams) dropExpired(now time.Time) {
	if len(s.putAt) <= maxRowKeys {
		return
	}
	for rec, at := range s.putAt {
		if now.Sub(at) >= refreshAfter {
			delete(s.putAt, rec)
		}
	}
}

func (s *Streams) key(i int) string { return s.prefix + strconv.Itoa(i) }

// index returns the number of the row with a key, if it is one of this process.
func (s *Streams) index(key string) (int, bool) {
	name, own := strings.CutPrefix(key, s.prefix)
	i, err := strconv.Atoi(name)
	return i, own && err == nil && i >= 0 && i < maxRows
}

func (r streamRow) encode(at stamp) []byte {
	type version struct {
		service, version string
		doubtful         bool
	}
	versions := map[version][]resume.Record{}
	for rec := range r.streams {
		v := version{rec.Service, rec.Version, rec.Doubtful}
		versions[v] = append(versions[v], rec)
	}
	w := wireStreams{stamp: at}
	for v, list := range versions {
		slices.SortFunc(list, func(a, b resume.Record) int {
			return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Revision, b.Revision))
		})
		out := wireVersionStreams{Service: v.service, Version: v.version, Doubtful: v.doubtful}
		for _, rec := range list {
			out.Keys = binary.LittleEndian.AppendUint64(out.Keys, rec.Key)
			out.Revisions = binary.LittleEndian.AppendUint32(out.Revisions, uint32(rec.Revision))
		}
		w.Streams = append(w.Streams, out)
	}
	slices.SortFunc(w.Streams, func(a, b wireVersionStreams) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version), cmp.Compare(len(a.Keys), len(b.Keys)))
	})
	// Marshalling strings and numbers doesn't fail.
	data, _ := json.Marshal(w)
	return data
}

func (w wireStreams) records() []resume.Record {
	var out []resume.Record
	for _, v := range w.Streams {
		for i, k := range decodeKeys(v.Keys) {
			rec := resume.Record{Key: k, Service: v.Service, Version: v.Version, Doubtful: v.Doubtful}
			if r := v.Revisions; len(r) >= 4*(i+1) {
				rec.Revision = resume.Revision(binary.LittleEndian.Uint32(r[4*i:]))
			}
			out = append(out, rec)
		}
	}
	return out
}

// Load reads the records of all processes, those written last at the end, and deletes the rows of
// processes that are gone. The first call also takes over the rows of an earlier process of this name.
func (s *Streams) Load(ctx context.Context) ([]resume.Record, error) {
	snap, err := s.table.Read(ctx, streamPrefix)
	if err != nil {
		return nil, err
	}
	now, at := time.Now(), storeTime(s.table)
	slices.SortFunc(snap.Rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	var out []resume.Record
	var expired []store.Row
	own := map[int]streamRow{}
	for _, r := range snap.Rows {
		var w wireStreams
		if err := json.Unmarshal(r.Value, &w); err != nil {
			s.log.WithError(err).WithField("row", r.Key).Warn("a row with records of streams is not readable; it counts as empty")
			continue
		}
		recs, age := w.records(), w.age(at)
		i, isOwn := s.index(r.Key)
		switch {
		case isOwn:
			own[i] = newStreamRow(recs, now.Add(-age))
		case age >= rowTTL:
			expired = append(expired, r)
		}
		if age < rowTTL {
			out = append(out, recs...)
		}
	}
	s.adopt(own)
	if err := deleteRows(ctx, s.table, expired); err != nil {
		s.log.WithError(err).Debug("expired records of streams were not deleted")
	}
	return out, nil
}

// newStreamRow returns a row as the store holds it, which takes no further streams.
func newStreamRow(recs []resume.Record, addedAt time.Time) streamRow {
	row := streamRow{streams: make(map[resume.Record]struct{}, len(recs)), writes: maxRowWrites, addedAt: addedAt, stored: true}
	for _, rec := range recs {
		row.streams[rec] = struct{}{}
	}
	return row
}

// adopt takes over the rows of an earlier process of this name, once.
func (s *Streams) adopt(own map[int]streamRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return
	}
	s.loaded, s.era = true, storeTime(s.table).Era
	pending := s.rows
	s.rows = nil
	for i := range maxRows {
		if row, ok := own[i]; ok {
			s.rows = append(s.rows, make([]streamRow, i+1-len(s.rows))...)
			s.rows[i] = row
		}
	}
	s.rows = append(s.rows, pending...)
	s.current += len(s.rows) - len(pending)
}
