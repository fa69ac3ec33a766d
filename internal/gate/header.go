package gate

import (
	"net/http"

	"fulmarhinge/internal/header"
	"fulmarhinge/internal/wire"
)

// responseHeaders returns the end-to-end headers of a response, without those
// that concern only the connection to the server.
func responseHeaders(h http.Header) []*wire.Header { return header.Forward(h) }
