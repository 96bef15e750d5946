package proxy

import "context"

// charge is an operation that was taken from the limit of its organisation. It is given
// back if nothing of the operation is sent to a database. A nil charge is that of an
// operation without a limit.
type charge struct {
	limiter      Limiter
	organisation string
	sent         bool
}

// takeCharge takes an operation of the session's organisation from its limit. It may wait
// until the deadline of the request.
func (s *session) takeCharge(req *request) (*charge, error) {
	l := s.srv.cfg.Limiter
	if l == nil || !s.identity.limited {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(req.ctx, req.deadline)
	defer cancel()
	s.startWait(req.cancel)
	defer s.endWait()
	if err := l.Admit(ctx, s.identity.name); err != nil {
		return nil, err
	}
	return &charge{limiter: l, organisation: s.identity.name}, nil
}

// setSent records whether something was sent to a database, and returns what was recorded
// before.
func (c *charge) setSent(sent bool) (before bool) {
	if c == nil {
		return false
	}
	before, c.sent = c.sent, sent
	return before
}

// settle ends the operation.
func (c *charge) settle() {
	if c != nil && !c.sent {
		c.limiter.Return(c.organisation)
	}
}
