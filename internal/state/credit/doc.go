// Package credit bounds what the groups of callers use over all gateways together. The planner
// holds a Pool with one token bucket for each group and grants credit from it; each gateway holds
// an Account and spends its credit without a message. docs/design/quotas.md says why the bound
// holds while gateways and planners come and go.
//
// The package is designed for 31 gateways and 16 groups with 29,000 to 610,000 tokens a second
// and requests of 1,000 to 10,000 tokens, of which one group sends 7.5 times its usual load. The
// work of the Pool grows with the requests for credit and, ten times a second, with the number of
// gateways times groups.
package credit
