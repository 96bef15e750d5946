package database

import (
	"time"

	"geraniumbeam/internal/backend"
)

// Replication uses the port for clients. The replica connects with the startup
// parameter replicationParameter, waits for the byte replicationReady, sends a
// hello and then receives logMessages, both encoded with gob.

const replicationReady = 'R'

const (
	heartbeatInterval      = 100 * time.Millisecond
	replicationTimeout     = 2 * time.Second // time without a message after which a replica reconnects
	replicationDialTimeout = 1 * time.Second
	replicationRetryDelay  = 50 * time.Millisecond
	maxEntriesPerSend      = 512
	maxMessagesInFlight    = 1024 // messages that wait for the replication delay, per replica
	applyLagPollInterval   = 10 * time.Millisecond
)

// hello tells the primary which entries the replica has.
type hello struct {
	Name string
	Term uint64
	Runs []termRun
}

// logMessage contains the entries after Prev. Without entries it is a heartbeat.
type logMessage struct {
	Term    uint64
	Prev    backend.Position
	Entries []entry
	// Snapshot replaces the replica's log. It is set in the first message if the
	// primary's log no longer contains the entries after the replica's.
	Snapshot *snapshot
	First    bool // first message on a connection: the replica removes its entries after Prev
}
