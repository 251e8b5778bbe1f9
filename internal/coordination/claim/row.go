package claim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"chervilhead/internal/coordination/store"
	"chervilhead/internal/state/fault"
)

const (
	claimPrefix = "claims/"
	agePrefix   = "claim-ages/"
	cursorKey   = "claim-sweep"
	// ageBucketSpan is the range of claim times in one age bucket, the unit of a sweep.
	ageBucketSpan = 10 * time.Second
	// maxKeyBytes is the maximum length of a caller's idempotency key.
	maxKeyBytes = 255
	// MaxInlineBytes is the largest answer body that is stored in the claim's row; a larger one
	// goes into the object store.
	MaxInlineBytes = 32 << 10
	// MaxBodyBytes is the largest answer body that is stored at all.
	MaxBodyBytes = 4 << 20
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Running means that the claim is not settled.
	Running State = "running"
	// Done means that the outcome is recorded.
	Done State = "done"
)

// Owner identifies the process that made a claim.
type Owner struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Record is the outcome of a request as its caller received it.
type Record struct {
	Outcome fault.Outcome `json:"outcome"`
	Status  int           `json:"status"`
	Header  http.Header   `json:"header,omitempty"`
	// Body holds the answer, with the events of a stream in their wire form.
	Body []byte `json:"body,omitempty"`
	// Object names the object that holds a body too large for the row.
	Object string `json:"object,omitempty"`
	// BodyOmitted means that the answer's body is not stored.
	BodyOmitted bool `json:"omitted,omitempty"`
}

// Row is the stored form of a claim.
type Row struct {
	ID          string  `json:"claim_id"`
	Fingerprint string  `json:"fingerprint"`
	State       State   `json:"state"`
	Owner       Owner   `json:"owner"`
	AtMillis    int64   `json:"at_ms"`
	Record      *Record `json:"record,omitempty"`
}

// CheckKey validates a caller's key.
func CheckKey(key string) *fault.Error {
	bad := func(msg string) *fault.Error {
		return fault.New(fault.Invalid, "invalid_idempotency_key", msg, "use 1 to 255 visible ASCII characters, for example a UUID").WithParam("Idempotency-Key")
	}
	if key == "" || len(key) > maxKeyBytes {
		return bad(fmt.Sprintf("the idempotency key has %d bytes", len(key)))
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return bad(fmt.Sprintf("the idempotency key contains the byte %#02x", key[i]))
		}
	}
	return nil
}

// rowKey returns the key of a claim's row. Both parts are escaped, so that no two pairs of
// group and key share a row.
func rowKey(group, key string) string {
	return claimPrefix + url.PathEscape(group) + "/" + url.PathEscape(key)
}

func bucketOf(millis int64) int64 { return millis / ageBucketSpan.Milliseconds() }

func bucketPrefix(bucket int64) string { return agePrefix + strconv.FormatInt(bucket, 10) + "/" }

// ageKey returns the key of the row that orders a claim by age.
func ageKey(key string, millis int64) string { return bucketPrefix(bucketOf(millis)) + key }

func encode(r Row) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("cannot encode a claim: %v", err))
	}
	return b
}

func decode(r store.Row) (Row, *fault.Error) {
	var row Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return row, fault.New(fault.Internal, "malformed_claim", fmt.Sprintf("row %q does not decode", r.Key), "have an operator delete the row").
			WithCause(err).WithOutcome(fault.OutcomeUnknown)
	}
	return row, nil
}
