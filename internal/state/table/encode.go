package table

import (
	"encoding/json"
	"fmt"
)

// Encode returns the table in its JSON form. It panics if a limit is infinite or NaN.
func Encode(t Table) []byte {
	b, err := json.Marshal(t)
	if err != nil {
		panic(fmt.Sprintf("encode table: %v", err))
	}
	return b
}

// Decode parses the JSON form of a table; its rows need not be sorted.
func Decode(b []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return Table{}, fmt.Errorf("decode table: %w", err)
	}
	return New(t.Revision, t.Groups, t.Models, t.Services, t.Keys), nil
}
