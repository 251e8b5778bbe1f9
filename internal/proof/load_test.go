package proof

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"chervilhead/internal/coordination/edit"
	"chervilhead/internal/state/table"
)

func names(m map[string]action) []string { return slices.Sorted(maps.Keys(m)) }

func merge(ms ...map[string]action) map[string]action {
	out := map[string]action{}
	for _, m := range ms {
		maps.Copy(out, m)
	}
	return out
}

// send sends a request of the kind that the step names.
func (f *fleet) send(i int, s step) {
	c := &call{id: fmt.Sprintf("r%d", i), model: modelName(s.B % models), tokens: 1 + 2*s.C, stream: s.C%2 == 0}
	switch s.Do {
	case "chat":
		c.chat = true
	case "adapter":
		c.model = adapterName
	case "once":
		c.once = true
	case "keyed":
		c.once, c.key = true, c.id
	case "service":
		c.service, c.once, c.stream = true, true, false
		if s.C%2 == 0 {
			c.key = c.id
		}
	case "away":
		c.patience = time.Duration(1+s.C) * 7 * time.Millisecond
	}
	f.launch(f.entryAt(s.A), c)
}

// burst sends requests of the limited group, more than its limit, through all entries.
func (f *fleet) burst(i int, s step) {
	for j := range cappedLimit + 1 + s.B%3 {
		c := &call{id: fmt.Sprintf("c%d-%d", i, j), model: modelName(s.B % models), tokens: 10 + s.C, stream: true, capped: true}
		if j == 0 && s.C%2 == 0 {
			c.patience = 300 * time.Millisecond
		}
		f.launch(f.entryAt(s.A+j), c)
		time.Sleep(callGap)
	}
}

// resend sends an earlier keyed request again through any entry.
func (f *fleet) resend(_ int, s step) {
	var keyed []*call
	f.mu.Lock()
	for _, c := range f.calls {
		if c.key != "" {
			keyed = append(keyed, c)
		}
	}
	f.mu.Unlock()
	if len(keyed) == 0 {
		return
	}
	f.launch(f.entryAt(s.A), keyed[len(keyed)-1-s.B%min(3, len(keyed))].again())
}

// poison sends a request that crashes each engine that runs it, and sends it again.
func (f *fleet) poison(i int, s step) {
	c := &call{id: fmt.Sprintf("%s%d", poisonWord, i), model: modelName(s.B % models), tokens: 5}
	f.wg.Go(func() {
		for j := range 8 {
			f.launch(f.entryAt(s.A+j), c.again())
			time.Sleep(time.Duration(1+s.C) * 10 * time.Millisecond)
		}
	})
}

// entryAt returns an entry that does not leave, as the balancer does.
func (f *fleet) entryAt(i int) *entryProc {
	f.mu.Lock()
	defer f.mu.Unlock()
	for j := range f.entries {
		p := f.entries[(i+j)%len(f.entries)]
		if p.e.Ready() {
			return p
		}
	}
	return f.entries[i%len(f.entries)]
}

// accepted is the newest accepted edit.
type accepted struct {
	revision uint64
	weight   float64
}

// edits lets two operators edit the same row at once.
func (f *fleet) edits(i int, s step) {
	for j := range 2 {
		time.Sleep(callGap)
		f.wg.Go(func() {
			f.weigh(fmt.Sprintf("edit-%d-%d", i, j), float64(1+2*i+j), s)
		})
	}
}

// version gives a model a new version, whose load needs space beside the old one.
func (f *fleet) version(i int, s step) {
	f.wg.Go(func() {
		f.edit(s, fmt.Sprintf("version-%d", i), func(t table.Table) edit.Op {
			row, _ := t.Model(modelName(s.B % models))
			row.Version = fmt.Sprint(i + 2)
			return edit.Op{Sheet: table.SheetModels, Name: row.Name, Row: row, Expect: row.Revision}
		})
	})
}

// weigh edits the weight of the group and notes an edit that was accepted.
func (f *fleet) weigh(id string, weight float64, s step) {
	res, ok := f.edit(s, id, func(t table.Table) edit.Op {
		row, _ := t.Group(groupName)
		row.Weight = weight
		return edit.Op{Sheet: table.SheetGroups, Name: groupName, Row: row, Expect: row.Revision}
	})
	if !ok {
		return
	}
	if f.kind != faulty {
		f.checkSpread(res.Entry.Revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, id)
	if f.newest == nil || res.Entry.Revision > f.newest.revision {
		f.newest = &accepted{res.Entry.Revision, weight}
	}
}

// edit makes an edit through an entry, as package opsapi does; every second copy of the
// table in the object store is left out.
func (f *fleet) edit(s step, id string, change func(table.Table) edit.Op) (edit.Result, bool) {
	p := f.entryAt(s.A)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	t, err := edit.LoadTable(ctx, p.gate)
	if err != nil {
		return edit.Result{}, false
	}
	res, err := edit.New(p.gate, time.Now).WithRandom(p.random).Apply(ctx, edit.Request{ID: id, Who: "op", Ops: []edit.Op{change(t)}})
	if err == nil && !res.Replayed {
		p.docs.PutIfNewer(edit.TableDocument(res.Table))
		if s.C%2 == 0 {
			_ = edit.SaveBackup(ctx, objects{p.gate}, edit.TableDocument(res.Table))
		}
	}
	return res, err == nil
}
