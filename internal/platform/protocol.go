package platform

import "time"

// The object API over HTTP:
//
//	GET    /v1/objects/<key>    200, the value as body, its version in VersionHeader
//	PUT    /v1/objects/<key>    If-Match: "<version>" or If-None-Match: *; 200, PutResponse
//	DELETE /v1/objects/<key>    If-Match: "<version>"; 204
//	GET    /v1/list?prefix=     200, a JSON array of Object
//	GET    /v1/watch?prefix=    200, one JSON WatchLine per line, the first with ready set
//
// 404 means not found, 412 a conflict, 413 a value that is too large; 429 and 503
// mean that the call was refused before any change. After any other failure of a
// write its outcome is unknown.
const (
	// ObjectsPath precedes the key of one object.
	ObjectsPath = "/v1/objects/"
	// ListPath lists the objects under a prefix.
	ListPath = "/v1/list"
	// WatchPath watches the objects under a prefix.
	WatchPath = "/v1/watch"
	// VersionHeader carries the version of the object in a response.
	VersionHeader = "Object-Version"
)

// WatchKeepAlive is the longest time between two lines that the platform sends
// on a watch.
const WatchKeepAlive = 5 * time.Second

// PutResponse is the body of the response to a successful PUT.
type PutResponse struct {
	Version uint64 `json:"version"`
}

// WatchLine is one line of a watch. A line with neither field set is a
// keep-alive.
type WatchLine struct {
	Ready  bool    `json:"ready,omitempty"`
	Object *Object `json:"object,omitempty"`
}

// prefixQuery holds the query parameters of a list or watch.
type prefixQuery struct {
	Prefix string `url:"prefix"`
}
