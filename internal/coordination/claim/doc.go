// Package claim ensures that a non-idempotent request with an idempotency key runs at most
// once.
//
// A request claims (group, key) with a conditional write before it is dispatched. The
// claim is settled in one of two ways: the outcome is recorded, or the claim is released
// because the request provably did not run. Nothing else ends a claim within the
// retention; in particular, it does not depend on a lease. If a claim's owner ended without
// settling it, further requests with the key get the outcome unknown.
//
// Cost: two commits per request, one to claim and one to settle. At the peak of 1,600
// requests/s with 5% non-idempotent requests this is 160 commits/s, out of several
// hundred that the table service accepts. Each claim also writes a small row that orders
// claims by age, within the same commits.
//
// Retention: every entry looks for claims past their retention every SweepInterval, with
// one read. The entry that finds a due age bucket deletes its claims, up to sweepBatch
// in one commit; at 80 claims/s this is less than one commit/s over the fleet. Objects
// with large answers are left to the object store's expiry, because the platform's
// interface has no call that deletes one.
package claim
