// Package quota enforces the groups' hard limits over the whole fleet. Parts of each
// limit are leased to entries through rows of the table service: an entry's held row
// contains the parts that it may use, its grant row those that it may use next.
//
// The parts that all entries may use never add up to more than a limit. An entry takes
// a grant only in a transaction that requires the grant row to be unchanged. The
// allocator changes grants only in a transaction that requires all held and grant rows
// to be unchanged. An entry uses its parts only within their term on its own monotonic
// clock; parts are reclaimed only after the held row has been seen unchanged for the
// whole term.
//
// Cost: an entry writes one row every 5 to 10 s, so 340 entries write 34 to 68 rows a
// second; a change of demand adds at most one write a second per entry. The allocator
// reads the changed rows once a second and writes only when a part changes. In an
// outage of the table service, requests of limited groups are rejected once the term
// has ended.
package quota
