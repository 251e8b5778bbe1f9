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

// send sends a request of the kind named by the step's action.
func (f *fleet) send(i int, s step) {
	c := &call{id: fmt.Sprintf("r%d", i), model: modelName(s.B % models), maxTokens: 1 + 2*s.C, stream: s.C%2 == 0}
	switch s.Action {
	case "chat":
		c.chat = true
	case "adapter":
		c.model = adapterName
	case "once":
		c.nonIdempotent = true
	case "keyed":
		c.nonIdempotent, c.idempotencyKey = true, c.id
	case "service":
		c.service, c.nonIdempotent, c.stream = true, true, false
		if s.C%2 == 0 {
			c.idempotencyKey = c.id
		}
	case "away":
		c.cancelAfter = time.Duration(1+s.C) * 7 * time.Millisecond
	}
	f.launch(f.entryAt(s.A), c)
}

// burst sends more requests of the limited group than its limit, through all entries.
func (f *fleet) burst(i int, s step) {
	for j := range concurrencyLimit + 1 + s.B%3 {
		c := &call{id: fmt.Sprintf("c%d-%d", i, j), model: modelName(s.B % models), maxTokens: 10 + s.C, stream: true, limited: true}
		if j == 0 && s.C%2 == 0 {
			c.cancelAfter = 300 * time.Millisecond
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
		if c.idempotencyKey != "" {
			keyed = append(keyed, c)
		}
	}
	f.mu.Unlock()
	if len(keyed) == 0 {
		return
	}
	f.launch(f.entryAt(s.A), keyed[len(keyed)-1-s.B%min(3, len(keyed))].resend())
}

// poison sends a request that crashes each engine that runs it, eight times.
func (f *fleet) poison(i int, s step) {
	c := &call{id: fmt.Sprintf("%s%d", poisonWord, i), model: modelName(s.B % models), maxTokens: 5}
	f.wg.Go(func() {
		for j := range 8 {
			f.launch(f.entryAt(s.A+j), c.resend())
			time.Sleep(time.Duration(1+s.C) * 10 * time.Millisecond)
		}
	})
}

// entryAt returns a ready entry, as the load balancer does, or any if none is ready.
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

// acceptedEdit is an accepted edit of the group's weight.
type acceptedEdit struct {
	revision uint64
	weight   float64
}

// conflictingEdits makes two concurrent edits of the same row.
func (f *fleet) conflictingEdits(i int, s step) {
	for j := range 2 {
		time.Sleep(callGap)
		f.wg.Go(func() {
			f.editWeight(fmt.Sprintf("edit-%d-%d", i, j), float64(1+2*i+j), s)
		})
	}
}

// changeVersion gives a model a new version, whose load needs memory beside the old one.
func (f *fleet) changeVersion(i int, s step) {
	f.wg.Go(func() {
		f.edit(s, fmt.Sprintf("version-%d", i), func(t table.Table) edit.Op {
			row, _ := t.Model(modelName(s.B % models))
			row.Version = fmt.Sprint(i + 2)
			return edit.Op{Sheet: table.SheetModels, Name: row.Name, Row: row, Expect: row.Revision}
		})
	})
}

// editWeight edits the weight of the group and records the edit if it was accepted.
func (f *fleet) editWeight(id string, weight float64, s step) {
	res, ok := f.edit(s, id, func(t table.Table) edit.Op {
		row, _ := t.Group(groupName)
		row.Weight = weight
		return edit.Op{Sheet: table.SheetGroups, Name: groupName, Row: row, Expect: row.Revision}
	})
	if !ok {
		return
	}
	if f.kind != faulty {
		f.checkPropagation(res.Entry.Revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, id)
	if f.newest == nil || res.Entry.Revision > f.newest.revision {
		f.newest = &acceptedEdit{res.Entry.Revision, weight}
	}
}

// edit makes an edit through an entry, as package opsapi does; it saves a backup in the object
// store only for even s.C.
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
