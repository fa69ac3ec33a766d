package node

import (
	"context"

	"fulmarhinge/internal/limit"
	"fulmarhinge/internal/result"
)

// open admits everything.
type open struct{}

func (open) Admit(context.Context, string, string) (func(), *result.Error) { return func() {}, nil }

func (l *loop) admitter() limit.Admitter { return open{} }
