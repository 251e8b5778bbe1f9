// Package keeper is the keeper: the process beside a model engine. It is off the path of
// requests. It alone gives orders to its engine, keeps the engine's memory within bounds
// whatever becomes of an order, and tells the gateways the engine's state.
package keeper
