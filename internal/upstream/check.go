package upstream

import "context"

// Check sends a health check on a new connection and returns nil once the server has
// answered it, whatever its status: it reads and answers.
func (c *Client) Check(ctx context.Context, path string) error {
	cn, err := c.pool.dial(ctx)
	if err != nil {
		return ErrNotSent.Wrap(err)
	}
	defer cn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := cn.SetDeadline(deadline); err != nil {
			return ErrNotSent.Wrap(err)
		}
	}
	if _, err := cn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.pool.address + "\r\nConnection: close\r\n\r\n")); err != nil {
		return ErrUnknownOutcome.Wrap(err)
	}
	if _, err := cn.readHead(nil); err != nil {
		return ErrUnknownOutcome.Wrap(err)
	}
	return nil
}
