// Package poison records which requests are suspected of crashing engines, by
// fingerprint. It is pure: the time is passed in, and merging registries is commutative
// and idempotent, so that crash records may arrive repeatedly and in any order.
//
// A crash makes every request that ran on the engine a suspect. A suspect is run in
// isolation: a crash during an isolated run blocks it, and a complete answer clears the
// crashes known so far. Crash records are bounded in number and expire.
//
// One request crashes at most three endpoints. Homes names two endpoints for each
// fingerprint among those that hold its model. An endpoint that knows of no crash runs
// the request only if it is a home, or with a permit from a home that does not run it
// meanwhile, so at most two endpoints crash before both homes know of a crash. From then
// on the request is only run in isolation, and the first home permits one isolated run at
// a time: a crash in one blocks the request at that home before it permits another. The
// bound requires that the agents hold the same placement plan and that the agent of the
// first home is reachable. It does not depend on how fast crash records spread.
//
// Suspects knows keys in place of fingerprints: parts of prompts, because one part may crash engines
// in whatever request, and at gateways whole requests too. What it blocks is tried again, first in
// requests whose crashes other keys explain.
package poison
