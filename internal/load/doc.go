// Package load generates open-loop load on callers' addresses and checks every
// answer. Requests are sent on a schedule that does not depend on the answers, and
// latency counts from the intended send time, so that a stalled system cannot hide
// its own delay. Equal settings yield equal requests. The answers of the stand-in
// engine are a function of model, prompt and length, so that the package detects
// lost, truncated and foreign answers.
package load
