// Package table holds the operators' table, the configuration of groups, models,
// services and keys, as an immutable snapshot. It validates rows, compares tables,
// and encodes tables as JSON and sheets as CSV. With and Without methods return a new Table.
package table
