package database

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"geraniumbeam/internal/backend"
)

// delayedMessage is a message that is sent after the replication delay.
type delayedMessage struct {
	due time.Time
	msg logMessage
}

// sendLog sends the log to one replica until the connection ends or the database
// is no longer the primary of the term in which the connection began.
func (s *Server) sendLog(ctx context.Context, c net.Conn) {
	if _, err := c.Write([]byte{replicationReady}); err != nil {
		return
	}
	var h hello
	dec := gob.NewDecoder(c)
	if err := dec.Decode(&h); err != nil {
		return
	}
	s.mu.Lock()
	term, primary := s.term, s.role == backend.RolePrimary
	next, ok := s.log.matching(h.Runs)
	var snap *snapshot
	if !ok {
		snap, next = s.baseSnapshot, s.log.base.Offset
	}
	s.mu.Unlock()
	if !primary || h.Term > term {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.goroutines.Add(1)
	go func() { // detects that the replica closed the connection
		defer s.goroutines.Done()
		defer cancel()
		var b [1]byte
		_, _ = c.Read(b[:])
	}()
	queue := make(chan delayedMessage, maxMessagesInFlight)
	defer close(queue)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer cancel()
		writeDelayed(ctx, c, queue)
	}()
	s.queueEntries(ctx, term, next, snap, queue)
}

// writeDelayed writes each message in order when it is due.
func writeDelayed(ctx context.Context, c net.Conn, queue <-chan delayedMessage) {
	enc := gob.NewEncoder(c)
	for d := range queue {
		if sleep(ctx, time.Until(d.due)) != nil || enc.Encode(d.msg) != nil {
			return
		}
	}
}

// queueEntries queues new entries and heartbeats for one replica. It returns, which
// ends the connection, if the log no longer contains the next entry.
func (s *Server) queueEntries(ctx context.Context, term, next uint64, snap *snapshot, queue chan<- delayedMessage) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first, heartbeatDue := true, true; ; first = false {
		s.mu.Lock()
		if s.role != backend.RolePrimary || s.term != term || next < s.log.base.Offset {
			s.mu.Unlock()
			return
		}
		msg := logMessage{Term: term, Prev: backend.Position{Term: s.log.termAt(next), Offset: next}, First: first, Snapshot: snap}
		snap = nil
		msg.Entries = s.log.after(next, maxEntriesPerSend)
		changed := s.changed
		s.mu.Unlock()
		if n := uint64(len(msg.Entries)); n > 0 || heartbeatDue {
			next += n
			select {
			case queue <- delayedMessage{time.Now().Add(loadDuration(&s.replicationDelay)), msg}:
			case <-ctx.Done():
				return
			}
			if n == maxEntriesPerSend {
				heartbeatDue = false
				continue
			}
		}
		select {
		case <-changed:
			heartbeatDue = false
		case <-heartbeat.C:
			heartbeatDue = true
		case <-ctx.Done():
			return
		}
	}
}
