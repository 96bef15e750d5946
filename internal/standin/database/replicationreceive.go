package database

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"geraniumbeam/internal/backend"
)

// replicate follows the primary that the database was told to follow, until
// ctx ends.
func (s *Server) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		source := s.sourceLocked()
		changed := s.changed
		s.mu.Unlock()
		if source.address == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := s.followOnce(ctx, source); err != nil && ctx.Err() == nil {
			s.logger.Debug().Err(err).Str("primary", source.address).Msg("Replication interrupted.")
		}
		_ = sleep(ctx, replicationRetry)
	}
}

// source identifies what a replica follows; it is empty for other roles.
type source struct {
	address string
	term    uint64
}

func (s *Server) sourceLocked() source {
	if s.role != backend.RoleReplica {
		return source{}
	}
	return source{s.upstream, s.term}
}

// sameSourceLocked allows the term to grow: a primary that is promoted again
// keeps its followers.
func (s *Server) sameSourceLocked(src source) bool {
	now := s.sourceLocked()
	return now.address != "" && now.address == src.address && now.term >= src.term
}

// followOnce runs one replication connection.
func (s *Server) followOnce(ctx context.Context, src source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.watchSource(ctx, cancel, src)
	c, err := (&net.Dialer{Timeout: replicationDial}).DialContext(ctx, "tcp", s.cfg.dial(src.address))
	if err != nil {
		return fmt.Errorf("connect to primary: %w", err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := s.sendHello(c); err != nil {
		return err
	}
	return s.receive(ctx, cancel, c, src)
}

// watchSource ends a connection as soon as the database is fenced or told to
// follow another primary, also when the connection is silent.
func (s *Server) watchSource(ctx context.Context, cancel context.CancelFunc, src source) {
	defer cancel()
	for {
		s.mu.Lock()
		same, changed := s.sameSourceLocked(src), s.changed
		s.mu.Unlock()
		if !same {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) sendHello(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(replicationTimeout))
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": s.cfg.Name, replicationParameter: "log"},
	})
	if err := f.Flush(); err != nil {
		return fmt.Errorf("replication startup: %w", err)
	}
	var ready [1]byte
	if _, err := c.Read(ready[:]); err != nil || ready[0] != replicationReady {
		return fmt.Errorf("replication startup: got %q: %w", ready, err)
	}
	s.mu.Lock()
	h := hello{Name: s.cfg.Name, Term: s.term, Runs: s.log.runs()}
	s.mu.Unlock()
	return gob.NewEncoder(c).Encode(h)
}

// held is a message that waits for the apply lag.
type held struct {
	at  time.Time
	msg logMessage
}

// holdQueue is unbounded, so that a long lag does not delay heartbeats.
type holdQueue struct {
	mu    sync.Mutex
	items []held
	wake  chan struct{}
}

func (q *holdQueue) push(h held) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, h)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *holdQueue) takeAll() []held {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// receive reads messages, takes note of each at once and hands the entries to
// a goroutine that applies them after the lag.
func (s *Server) receive(ctx context.Context, cancel context.CancelFunc, c net.Conn, src source) error {
	q := &holdQueue{wake: make(chan struct{}, 1)}
	// The next connection must not announce a log that is still growing: the
	// primary would send entries again and the position would fall.
	applier := make(chan struct{})
	defer func() { cancel(); <-applier }()
	go func() {
		defer close(applier)
		defer cancel()
		s.applyHeld(ctx, q, src)
	}()
	dec := gob.NewDecoder(c)
	for {
		_ = c.SetDeadline(time.Now().Add(replicationTimeout))
		var msg logMessage
		if err := dec.Decode(&msg); err != nil {
			return fmt.Errorf("receive log: %w", err)
		}
		if err := s.hear(msg.Term, src); err != nil {
			return err
		}
		if len(msg.Entries) > 0 || msg.First {
			q.push(held{time.Now(), msg})
		}
	}
}

// hear records contact with the primary, unless it has a lower term.
func (s *Server) hear(term uint64, src source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameSourceLocked(src) || term < s.term {
		return fmt.Errorf("refused a message of term %d: at term %d", term, s.term)
	}
	s.heard = time.Now()
	return nil
}

func (s *Server) applyHeld(ctx context.Context, q *holdQueue, src source) {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		for _, h := range q.takeAll() {
			for time.Since(h.at) < durationOf(&s.applyLag) {
				wait := durationOf(&s.applyLag) - time.Since(h.at)
				if sleep(ctx, min(wait, lagPoll)) != nil {
					return
				}
			}
			if err := s.accept(h.msg, src); err != nil {
				s.logger.Warn().Err(err).Msg("Log message refused.")
				return
			}
		}
	}
}

// accept appends the entries of a message and applies them. Own entries that
// conflict with the primary's log are dropped.
func (s *Server) accept(msg logMessage, src source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameSourceLocked(src) || msg.Term < s.term {
		return fmt.Errorf("message of term %d refused at term %d", msg.Term, s.term)
	}
	if msg.Snapshot != nil {
		if err := s.installLocked(msg.Snapshot); err != nil {
			return err
		}
	}
	if msg.Prev.Offset > 0 && s.log.termAt(msg.Prev.Offset) != msg.Prev.Term {
		return fmt.Errorf("no entry of term %d at position %d", msg.Prev.Term, msg.Prev.Offset)
	}
	if msg.First {
		if err := s.dropAfterLocked(msg.Prev.Offset, msg.Term); err != nil {
			return err
		}
	}
	if s.log.last().Offset != msg.Prev.Offset {
		return fmt.Errorf("message continues at position %d, log ends at %d", msg.Prev.Offset, s.log.last().Offset)
	}
	if s.term != msg.Term {
		s.term = msg.Term
		if err := s.saveState(); err != nil {
			return err
		}
	}
	if err := s.saveEntries(msg.Entries); err != nil {
		return err
	}
	for _, e := range msg.Entries {
		s.log.append(e)
		s.applyLocked(e)
	}
	s.compactLocked()
	s.notifyLocked()
	return nil
}

// dropAfterLocked removes the entries that the primary of term does not have.
func (s *Server) dropAfterLocked(offset, term uint64) error {
	if offset < s.log.base.Offset {
		return fmt.Errorf("the primary's log differs before position %d, where this log begins", s.log.base.Offset)
	}
	n := s.log.truncate(offset)
	if n == 0 {
		return nil
	}
	if err := s.save(record{Truncate: &offset}); err != nil {
		return err
	}
	s.logger.Warn().Int("dropped", n).Uint64("position", offset).Uint64("term", term).Msg("Dropped log entries that the new primary does not have.")
	return s.rebuildLocked()
}
