package pltsim

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilhead/internal/coordination/store"
)

// Objects is an in-memory object store; it implements store.Objects.
type Objects struct {
	faults *Faults

	mu   sync.Mutex
	data map[string][]object
}

// maxVersions bounds the versions of an object kept for lagging reads.
const maxVersions = 16

// object is one version of an object.
type object struct {
	at   time.Time
	data []byte
}

// NewObjects returns an empty object store with the faults of ServiceObjects.
func NewObjects(faults *Faults) *Objects {
	return &Objects{faults: faults.ForService(ServiceObjects), data: map[string][]object{}}
}

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.faults.beforeCall(ctx, "object"); err != nil {
		return err
	}
	o.mu.Lock()
	keep := 1
	if o.faults.historyNeeded() {
		keep = maxVersions
	}
	versions := append(o.data[name], object{time.Now(), slices.Clone(data)})
	o.data[name] = slices.Clone(versions[max(len(versions)-keep, 0):])
	o.mu.Unlock()
	return o.faults.afterWrite("object")
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.faults.beforeCall(ctx, "object"); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	then := o.faults.readTime()
	for _, v := range slices.Backward(o.data[name]) {
		if !v.at.After(then) {
			return v.data, nil
		}
	}
	return nil, store.ErrNotFound
}
