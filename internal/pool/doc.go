// Package pool is the role that holds the connections to databases. It runs
// batches on the databases that the instance owns, keeps open transactions on
// their connections, and acknowledges a write only when a second database
// holds it.
//
// Invariants:
//
//   - A connection serves one request or one open transaction at a time. After
//     an error, a timeout or a cancelled request it is closed, never reused.
//   - A statement of a transaction runs only on the transaction's connection
//     and only once: its sequence number is above that of every statement
//     before it.
//   - An answer from a primary that does not leave a transaction open is given
//     only when the database reported role primary and one term before and
//     after the batch, and the position after it is confirmed. Statements
//     within a transaction need no confirmation, the end of it does.
//   - A batch for the primary is held back, and then refused as not run, while
//     no replica answers or the sender knows of a higher term, until a replica
//     is seen at the primary's term.
//   - An answer from a replica is given only if the replica held the floor
//     before the batch, and the age is proved or marked as not proved.
//   - A failure says "not run" only if no byte was sent, or the database proved
//     that nothing took effect (it was no primary before and after the batch,
//     its log did not advance, or it rolled the transaction back).
//   - A request key and the work that it names are committed in one
//     transaction, and the key's row is inserted first. A key with an open
//     transaction is refused with result.NotSupported.
//   - A database that leaves, or that the instance does not own any more, gets
//     no new work; open transactions continue until their deadline.
//   - An owner opens at most half of the connections that the database accepts,
//     control connections included.
//
// Each owned database is a unit with a lock of its own. No lock is held during
// I/O.
package pool
