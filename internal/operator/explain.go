package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/internal/explain"
)

// PathExplain answers where a request would go.
const PathExplain = "/v1/explain"

// maxRemaining bounds the remaining time of a question, which a header of a request gives in
// milliseconds.
const maxRemaining = 24 * time.Hour

// Explainer is implemented by the nodes that can explain where a request would go. Explain
// is safe for concurrent use and sends nothing.
type Explainer interface {
	Explain(query explain.Query) explain.Explanation
}

// Query parameters of PathExplain.
const (
	paramMethod     = "method"
	paramHost       = "host"
	paramPath       = "path"
	paramDeadlineMs = "deadline_ms"
)

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	node, ok := s.deps.(Explainer)
	if !ok {
		writeJSON(w, http.StatusNotImplemented, Reply{Error: "only sidecars on the users' platform explain"})
		return
	}
	query, err := explainFromQuery(r.URL.Query())
	if err != nil {
		writeJSON(w, http.StatusBadRequest, Reply{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, node.Explain(query))
}

func queryFromExplain(query explain.Query) url.Values {
	q := url.Values{paramMethod: {query.Method}, paramHost: {query.Host}, paramPath: {query.Path}}
	if query.Key != "" {
		q.Set(paramKey, query.Key)
	}
	if query.Remaining > 0 {
		q.Set(paramDeadlineMs, strconv.FormatInt(query.Remaining.Milliseconds(), 10))
	}
	return q
}

// explainFromQuery parses a question. It rejects unknown parameters, since the answer would
// be that to another question.
func explainFromQuery(q url.Values) (explain.Query, error) {
	out := explain.Query{Method: http.MethodGet}
	for name := range q {
		value := q.Get(name)
		switch name {
		case paramMethod:
			out.Method = value
		case paramHost:
			out.Host = value
		case paramPath:
			out.Path = value
		case paramKey:
			out.Key = value
		case paramDeadlineMs:
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms <= 0 || ms > maxRemaining.Milliseconds() {
				return out, fmt.Errorf("deadline_ms: got %q; expected 1 to %d", value, maxRemaining.Milliseconds())
			}
			out.Remaining = time.Duration(ms) * time.Millisecond
		default:
			return out, fmt.Errorf("%s: unknown parameter", name)
		}
	}
	if out.Host == "" {
		return out, fmt.Errorf("host: expected the host of a request")
	}
	if !strings.HasPrefix(out.Path, "/") {
		return out, fmt.Errorf("path: got %q; expected one that begins with /", out.Path)
	}
	return out, nil
}

// Explain asks the node at an operator address where a request would go.
func (c *Client) Explain(ctx context.Context, addr string, query explain.Query) (explain.Explanation, error) {
	var out explain.Explanation
	err := c.call(ctx, requestTo(addr).Get(PathExplain+"?"+queryFromExplain(query).Encode()), &out)
	return out, err
}
