// Package wire contains the messages that nodes exchange, generated from
// wire.proto. The generated code is committed; run "make generate" after
// changing the definitions.
package wire

// ProtocolVersion is the version of the protocol between nodes. Peers with a different
// version are refused.
const ProtocolVersion = 1
