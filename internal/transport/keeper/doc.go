// Package keeper implements the keeper, the process beside a model engine. It is not on the
// request path. It is the only process that gives orders to its engine, never orders more
// into the engine's memory than fits, even while orders are unanswered, and reports the
// engine's state to the gateways.
package keeper
