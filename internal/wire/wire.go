// Package wire holds the messages that nodes exchange, generated from
// wire.proto. The generated code is committed; run "make generate" after a
// change of the definition.
package wire

// Protocol is the version of the protocol between nodes. Peers that speak
// another one are refused.
const Protocol = 1
