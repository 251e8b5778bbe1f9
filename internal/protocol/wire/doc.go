// Package wire defines the messages of the peer protocol, which entries and agents speak
// over their connections, and the length-prefixed codec that carries them: JSON-RPC for
// calls, MessagePack for chunks of a response. Frames are limited in size; a malformed or
// oversized frame closes its connection and has no other effect.
package wire
