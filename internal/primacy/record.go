// Package primacy determines which database is the primary of a service, and
// replaces the primary when it fails (failover) or leaves (switchover).
//
// Each service has a record in a linearizable store. The record names the
// primary and carries a fencing token that grows with each replacement.
//
// Invariants: an instance uses a primary only while a request that it sent less
// than Validity ago confirmed that no replacement has begun, and it checks this
// again when the database's answer arrives. A primary is promoted only by the
// instance that holds the service's record with the highest token, and only after
// every registered instance has confirmed that it stopped using the former
// primary, or the validity of its cached record has passed. The record in the
// store, not a clock or a list of live instances, determines who may promote. A record
// that was written before the store was restored from an older copy determines nothing
// until it is established again (see restore.go).
package primacy

import (
	"context"
	"errors"
	"time"

	"geraniumbeam/internal/revision"
	"geraniumbeam/internal/statement"
)

// LimitsRecord is the name of the record of the instance that coordinates the limits of
// organisations. It is no service: no database belongs to it, and package limits
// establishes it after a restore of the store.
const LimitsRecord = "geraniumbeam.limits"

// Phase is the state of a service's record.
type Phase string

// Phases.
const (
	Serving   Phase = "serving"   // the primary may be used
	Replacing Phase = "replacing" // no instance may use the former primary
)

// Record is the agreed state of one service. It is kept in the store and changed
// by compare-and-swap on its revision. Its JSON form, with the Go field names, is
// sent to other instances.
type Record struct {
	Service string
	// Revision holds the era in which the record was written, and the number under
	// which the store has it.
	Revision revision.Revision
	Token    uint64 // fencing token; grows with each attempt to replace the primary
	Phase    Phase
	Primary  string // id of the database
	Term     uint64
	// Promoter is the incarnation of the instance that took the token.
	Promoter string
	// Candidate is the database that the promoter is about to promote.
	Candidate string
	// Attempted means that a promotion may have been requested since the primary was
	// last in use, by this promoter or an earlier one. It may still take effect.
	Attempted bool
	// Progress grows while the promoter waits, so that others see that it is at work.
	Progress uint64
	// Planned means that this is a switchover: the former primary works and is
	// leaving.
	Planned bool
	// Excluded are incarnations that did not confirm in time. They must register
	// under a new incarnation before they use a primary of the service.
	Excluded []string
	// Unsettled means that the store was restored since the latest replacement, so
	// that it may have lost the registrations of instances that use the primary.
	Unsettled bool
}

// Registration is what an instance publishes about itself. Only the instance
// itself writes it.
type Registration struct {
	Instance    string
	Revision    revision.Revision // of the store that returned the registration
	Incarnation string            // differs for each start of the process and each new registration after an exclusion
	DataCentre  string
	Address     string // where peers reach the instance
	// Validity is how long the instance uses a record after a request confirmed it.
	Validity time.Duration
	// Stopped holds, by service, the token for which the instance has stopped
	// using the former primary.
	Stopped map[string]uint64
	// Suspects holds, by service, the token under which the instance can't
	// reach the primary.
	Suspects map[string]uint64
	// Unreadable means that the store has a registration which can't be decoded.
	// Promoters wait for its validity; it counts in no quorum.
	Unreadable bool
}

// Errors of a Store. After any other error the change may or may not have been
// made.
var (
	ErrConflict = errors.New("the object has another revision or exists already")
	ErrNotFound = errors.New("the object does not exist")
	// ErrRestored means that the store was restored from an older copy meanwhile. A
	// write that was sent before may be lost or have hit another version of the
	// object.
	ErrRestored = errors.New("the store was restored from an older copy")
)

// Store keeps records and registrations. Lists are linearizable unless stated
// otherwise.
type Store interface {
	// Records also returns the revision of the whole store.
	Records(ctx context.Context) ([]Record, revision.Revision, error)
	// WatchRecords waits for records that changed after the revision. It also
	// returns the revision from which to continue. It fails with ErrRestored if the
	// store is no longer in the era of that revision.
	WatchRecords(ctx context.Context, after revision.Revision, wait time.Duration) ([]Record, revision.Revision, error)
	// CreateRecord writes a record of the given era. It fails with ErrConflict if the
	// record exists, and with ErrRestored if the store is in a later era.
	CreateRecord(ctx context.Context, era uint64, r Record) (Record, error)
	// UpdateRecord fails with ErrConflict unless the number of r.Revision is current,
	// and with ErrRestored if the store is in a later era than the given one.
	UpdateRecord(ctx context.Context, era uint64, r Record) (Record, error)
	Registrations(ctx context.Context) ([]Registration, error)
	// StaleRegistrations returns registrations that may be seconds old, and the
	// revision of the whole store that they are from.
	StaleRegistrations(ctx context.Context) ([]Registration, revision.Revision, error)
	// Register creates or replaces a registration and returns it with its
	// revision.
	Register(ctx context.Context, r Registration) (Registration, error)
	// Unregister removes the registration of an instance if it has the revision. The
	// removal may take effect seconds later if no response arrives. If the
	// registration has another revision, Unregister fails with ErrConflict and
	// returns it.
	Unregister(ctx context.Context, instance string, at revision.Revision) (Registration, error)
}

// Databases sends control commands to databases.
type Databases interface {
	// Status returns the status of one database of a service.
	Status(ctx context.Context, service, id string, timeout time.Duration) (statement.Status, error)
	// Control runs a command that may change the database's role.
	Control(ctx context.Context, service, id string, c statement.Command, timeout time.Duration) (statement.Status, error)
	// Reach returns what is known of the connection to a database.
	Reach(service, id string) Reach
	// Probe sends the database a status request on the instance's own connections and,
	// if it has detours, at the same time through these. It returns what is known then.
	Probe(ctx context.Context, service, id string, timeout time.Duration) Reach
	// Members returns the known databases of a service.
	Members(service string) []Member
	// Lapsed returns the ids of databases that were members lately, did not leave, and
	// may still have commits that no member has.
	Lapsed(service string) []string
	// SyncReplicas returns how many replicas have received a commit when the primary
	// of the service acknowledges it.
	SyncReplicas(service string) int
}

// Member is a database that may become primary.
type Member struct {
	ID      string
	Leaving bool
	Primary bool // as the database reports it
	New     bool // registered so recently that some instances may not know it
}

// Promotions asks the platform to make a database the primary.
type Promotions interface {
	// Promote fails with ErrNotRunning if the platform refuses the database, and with
	// ErrPromotionLate if nothing was sent because the time of the promotion has passed. What
	// has not reached the platform when Promote returns must not reach it later.
	Promote(ctx context.Context, p Promotion) error
}

// Promotion is a call that makes a database the primary of a service.
type Promotion struct {
	Service  string
	Database string
	Holder   string // instance that holds the service's record
	Token    uint64
	// NotAfter is when the call must not be sent any more, as clock.SinceBoot counts.
	NotAfter time.Duration
}

// ErrNotRunning means that the database to promote does not run.
var ErrNotRunning = errors.New("the database is not running")

// ErrPromotionLate means that a promotion was not requested because a successor of the
// promoter may have requested another one.
var ErrPromotionLate = errors.New("the time in which this instance may promote a database has passed")
