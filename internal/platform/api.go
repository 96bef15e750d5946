// Package platform is a client of the platform's service: versioned objects with
// conditional updates and watches, and the list of instances.
//
// Invariants: a Put with a version succeeds only if the object still has that
// version. After an error with result.PlatformDown it is unknown whether a Put
// took effect, so the caller has to read the object.
package platform

import (
	"context"
	"time"
)

// Kinds of objects.
const (
	KindService = "service"
	KindClass   = "class"
	KindGroup   = "group"
	KindStatus  = "status"
)

// Object is a versioned object. Data is JSON with at most MaxValue bytes.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"` // increases with every change in the store
	Data    []byte `json:"data"`
	Deleted bool   `json:"deleted,omitempty"`
}

// MaxValue is the largest object value that the platform stores, in bytes.
const MaxValue = 1 << 20

// AnyVersion makes Put unconditional. With NoVersion it only creates objects.
const (
	AnyVersion uint64 = 1<<64 - 1
	NoVersion  uint64 = 0
)

// Database is a member of a group.
type Database struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // host:port
	Leaving    bool   `json:"leaving,omitempty"`
}

// Group is the value of an object of kind group. Term never decreases. Primary is
// a hint: only the database itself states whether it is the primary at its term.
type Group struct {
	Term      uint64     `json:"term"`
	Primary   string     `json:"primary,omitempty"` // empty during a change of primary
	Candidate string     `json:"candidate,omitempty"`
	Nonce     string     `json:"nonce,omitempty"` // identifies the candidate's update
	Avoid     string     `json:"avoid,omitempty"` // primary that resigned; the next candidate prefers another database
	Databases []Database `json:"databases"`
}

// Instance is an entry of the platform's list of instances, which is updated with
// a delay.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // host:port of the inner protocol
	Leaving    bool   `json:"leaving,omitempty"`
}

// API is the part of the platform's API that instances use. Errors have code
// result.PlatformDown, result.Conflict, result.NotFound, result.Invalid or
// result.RateLimited.
type API interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version of the store.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put stores data if the object still has this version, and returns the
	// stored object. On a conflict it returns the current object and an error
	// with result.Conflict.
	Put(ctx context.Context, kind, name string, version uint64, data []byte) (Object, error)
	// Delete removes the object if it still has this version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits up to wait for objects of the kind with a version above
	// after, and returns them in order of version, followed by the version of
	// the store. Deleted objects are included. An empty list means that nothing
	// changed.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Instances returns the list of instances, which is updated with a delay.
	Instances(ctx context.Context) ([]Instance, error)
}
