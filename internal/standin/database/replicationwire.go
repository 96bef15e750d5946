package database

import (
	"time"

	"geraniumbeam/internal/backend"
)

// Replication runs on the database's own port. The replica connects with the
// startup parameter replicationParameter, waits for the byte
// replicationReady, sends a hello and then receives logMessages, all encoded
// with gob.

const replicationReady = 'R'

const (
	heartbeatInterval   = 100 * time.Millisecond
	replicationTimeout  = 2 * time.Second // silence after which a replica reconnects
	replicationDial     = 1 * time.Second
	replicationRetry    = 50 * time.Millisecond
	maxEntriesPerSend   = 512
	maxMessagesInFlight = 1024 // messages under way during the replication delay
	lagPoll             = 10 * time.Millisecond
)

// hello tells the primary what the replica has.
type hello struct {
	Name string
	Term uint64
	Runs []termRun
}

// logMessage carries entries that follow Prev. Without entries it is a
// heartbeat.
type logMessage struct {
	Term    uint64
	Prev    backend.Position
	Entries []entry
	// Snapshot replaces the replica's log. It is set on a first message when
	// the primary's log does not reach back to the replica's.
	Snapshot *snapshot
	First    bool // first message on a connection: entries after Prev conflict
}
