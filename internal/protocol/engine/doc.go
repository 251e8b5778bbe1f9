// Package engine defines the protocol of model engines and a client for it. Engines serve
// the OpenAI-compatible API with orders, cancel, resume, state and cache events added; the
// rest of the system sees only the Engine interface. An engine applies an order id
// once, and a resume never starts a generation.
package engine
