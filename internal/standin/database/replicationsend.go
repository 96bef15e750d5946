package database

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"geraniumbeam/internal/backend"
)

// delayed is a message that is sent once the replication delay has passed.
type delayed struct {
	due time.Time
	msg logMessage
}

// sendLog serves one replica until the connection ends or the database is no
// longer the primary of the term in which the connection began.
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
	s.running.Add(1)
	go func() { // notices that the replica closed the connection
		defer s.running.Done()
		defer cancel()
		var b [1]byte
		_, _ = c.Read(b[:])
	}()
	line := make(chan delayed, maxMessagesInFlight)
	defer close(line)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer cancel()
		writeDelayed(ctx, c, line)
	}()
	s.produce(ctx, term, next, snap, line)
}

// writeDelayed writes messages when they are due, in order.
func writeDelayed(ctx context.Context, c net.Conn, line <-chan delayed) {
	enc := gob.NewEncoder(c)
	for d := range line {
		if sleep(ctx, time.Until(d.due)) != nil || enc.Encode(d.msg) != nil {
			return
		}
	}
}

// produce queues new entries and heartbeats for one replica. It ends the
// connection if the log no longer holds the next entry.
func (s *Server) produce(ctx context.Context, term, next uint64, snap *snapshot, line chan<- delayed) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first, due := true, true; ; first = false {
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
		if n := uint64(len(msg.Entries)); n > 0 || due {
			next += n
			select {
			case line <- delayed{time.Now().Add(durationOf(&s.replicationDelay)), msg}:
			case <-ctx.Done():
				return
			}
			if n == maxEntriesPerSend {
				due = false
				continue
			}
		}
		select {
		case <-changed:
			due = false
		case <-heartbeat.C:
			due = true
		case <-ctx.Done():
			return
		}
	}
}
