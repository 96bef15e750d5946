// Package pool manages the connections to the databases that an instance owns.
// It runs batches on them, keeps each open transaction on its connection, and
// acknowledges a write only after a second database has replicated it.
//
// Invariants:
//
//   - A connection serves one request or one open transaction at a time. After
//     an error, a timeout or a cancelled request it is closed and never reused.
//   - A statement of a transaction runs only on the transaction's connection
//     and only once: its sequence number must exceed that of every earlier
//     statement.
//   - If no transaction is open after a batch on a primary, its answer is
//     returned only when the database was primary at the same term before and
//     after the batch, and the log position after the batch is confirmed.
//     Statements within a transaction need no confirmation; its end does.
//   - While no replica answers, or the sender knows of a higher term, a batch
//     for the primary waits until a replica reports the primary's term. If none
//     does within the limit, the batch is refused as not run.
//   - An answer from a replica is returned only if the replica had reached the
//     floor before the batch, and the age of its data is proved or the answer
//     is marked as stale.
//   - A failure is reported as not run only if no byte was sent, or the database
//     proved that nothing took effect: it was not primary before and after the
//     batch, its log did not advance, or it rolled the transaction back.
//   - A request key is committed in one transaction with the batch that it
//     identifies, and the key's row is inserted first. A key in an open
//     transaction is refused with result.NotSupported.
//   - A database that is leaving, or that the instance no longer owns, gets no
//     new work; open transactions may continue until their deadline.
//   - An owner opens at most half of the connections that the database accepts,
//     control connections included.
//
// Each owned database has its own lock. No lock is held during I/O.
package pool
