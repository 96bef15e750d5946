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

// replicate receives the log of the primary that the database follows, until ctx
// ends.
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
		if err := s.replicateFrom(ctx, source); err != nil && ctx.Err() == nil {
			s.logger.Debug().Err(err).Str("primary", source.address).Msg("Replication interrupted.")
		}
		_ = sleep(ctx, replicationRetryDelay)
	}
}

// source identifies the primary that a replica follows. It is empty for other
// roles.
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

// sameSourceLocked reports whether the database still follows src. The term may
// have become higher: a primary that is promoted again keeps its replicas.
func (s *Server) sameSourceLocked(src source) bool {
	current := s.sourceLocked()
	return current.address != "" && current.address == src.address && current.term >= src.term
}

// replicateFrom connects to the primary and receives its log until the connection
// ends.
func (s *Server) replicateFrom(ctx context.Context, src source) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.watchSource(ctx, cancel, src)
	c, err := (&net.Dialer{Timeout: replicationDialTimeout}).DialContext(ctx, "tcp", s.cfg.dialAddress(src.address))
	if err != nil {
		return fmt.Errorf("connect to primary %s: %w", src.address, err)
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := s.sendHello(c); err != nil {
		return err
	}
	return s.receive(ctx, cancel, c, src)
}

// watchSource cancels the connection as soon as the database is fenced or follows
// another primary, even if no message arrives.
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
		return fmt.Errorf("send replication startup message: %w", err)
	}
	var ready [1]byte
	if _, err := c.Read(ready[:]); err != nil || ready[0] != replicationReady {
		return fmt.Errorf("read replication startup byte: got %q: %w", ready, err)
	}
	s.mu.Lock()
	h := hello{Name: s.cfg.Name, Term: s.term, Runs: s.log.runs()}
	s.mu.Unlock()
	return gob.NewEncoder(c).Encode(h)
}

// queuedMessage is a message that waits for the apply lag to pass.
type queuedMessage struct {
	receivedAt time.Time
	msg        logMessage
}

// applyQueue holds messages until they are applied. It is unbounded, so that a long
// lag does not delay the reading of heartbeats.
type applyQueue struct {
	mu    sync.Mutex
	items []queuedMessage
	wake  chan struct{}
}

func (q *applyQueue) push(message queuedMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, message)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *applyQueue) takeAll() []queuedMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// receive reads messages. It records the contact with the primary at once; a
// goroutine applies the entries after the apply lag.
func (s *Server) receive(ctx context.Context, cancel context.CancelFunc, c net.Conn, src source) error {
	q := &applyQueue{wake: make(chan struct{}, 1)}
	// Wait for the goroutine, because the hello of the next connection must not
	// describe a log that is still growing: the primary would send entries again
	// and the position would decrease.
	applierDone := make(chan struct{})
	defer func() { cancel(); <-applierDone }()
	go func() {
		defer close(applierDone)
		defer cancel()
		s.applyQueued(ctx, q, src)
	}()
	dec := gob.NewDecoder(c)
	for {
		_ = c.SetDeadline(time.Now().Add(replicationTimeout))
		var msg logMessage
		if err := dec.Decode(&msg); err != nil {
			return fmt.Errorf("receive log message: %w", err)
		}
		if err := s.recordContact(msg.Term, src); err != nil {
			return err
		}
		if len(msg.Entries) > 0 || msg.First {
			q.push(queuedMessage{time.Now(), msg})
		}
	}
}

// recordContact records the contact with the primary. It returns an error if the
// message has a lower term or the database no longer follows src.
func (s *Server) recordContact(term uint64, src source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameSourceLocked(src) || term < s.term {
		return fmt.Errorf("refused a message of term %d: the database is at term %d", term, s.term)
	}
	s.lastContact = time.Now()
	return nil
}

// applyQueued applies queued messages when the apply lag has passed. It checks the
// lag repeatedly, because it can change.
func (s *Server) applyQueued(ctx context.Context, q *applyQueue, src source) {
	for {
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
		for _, message := range q.takeAll() {
			for time.Since(message.receivedAt) < loadDuration(&s.applyLag) {
				wait := loadDuration(&s.applyLag) - time.Since(message.receivedAt)
				if sleep(ctx, min(wait, applyLagPollInterval)) != nil {
					return
				}
			}
			if err := s.appendMessage(message.msg, src); err != nil {
				s.logger.Warn().Err(err).Msg("Refused a log message.")
				return
			}
		}
	}
}

// appendMessage appends the entries of a message to the log and applies them. It
// removes entries that conflict with the primary's log.
func (s *Server) appendMessage(msg logMessage, src source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sameSourceLocked(src) || msg.Term < s.term {
		return fmt.Errorf("append message of term %d: the database is at term %d or follows another primary", msg.Term, s.term)
	}
	if msg.Snapshot != nil {
		if err := s.installSnapshotLocked(msg.Snapshot); err != nil {
			return err
		}
	}
	if msg.Prev.Offset > 0 && s.log.termAt(msg.Prev.Offset) != msg.Prev.Term {
		return fmt.Errorf("append message: no entry of term %d at position %d", msg.Prev.Term, msg.Prev.Offset)
	}
	if msg.First {
		if err := s.truncateAfterLocked(msg.Prev.Offset, msg.Term); err != nil {
			return err
		}
	}
	if s.log.last().Offset != msg.Prev.Offset {
		return fmt.Errorf("append message after position %d: the log ends at position %d", msg.Prev.Offset, s.log.last().Offset)
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

// truncateAfterLocked removes the entries after offset, which the primary of term
// does not have. mu is held.
func (s *Server) truncateAfterLocked(offset, term uint64) error {
	if offset < s.log.base.Offset {
		return fmt.Errorf("truncate log after position %d: the log begins at position %d", offset, s.log.base.Offset)
	}
	n := s.log.truncate(offset)
	if n == 0 {
		return nil
	}
	if err := s.save(record{Truncate: &offset}); err != nil {
		return err
	}
	s.logger.Warn().Int("dropped", n).Uint64("position", offset).Uint64("term", term).Msg("Removed log entries that the new primary does not have.")
	return s.rebuildLocked()
}
