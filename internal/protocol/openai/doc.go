// Package openai defines the parts of the OpenAI-compatible HTTP API that the system reads
// and writes on both sides, callers and engines: requests, events, errors and server-sent
// event framing. An event cut off by a broken connection is never returned, and token
// counts are never negative.
package openai
