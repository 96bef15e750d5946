// Package platform is the client side of the platform's service: objects with
// versions, conditional updates and watches, and the list of instances.
//
// Invariants: a Put with a version succeeds only if the object still has that
// version. An error with result.PlatformDown does not tell whether a Put took
// effect; the caller reads back.
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

// Object is a versioned object. Data is JSON of at most MaxValue bytes.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"` // increases with each change of any object
	Data    []byte `json:"data"`
	Deleted bool   `json:"deleted,omitempty"`
}

// MaxValue is the largest object value that the platform holds, in bytes.
const MaxValue = 1 << 20

// AnyVersion makes Put unconditional; NoVersion makes it create only.
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

// Group is the value of an object of kind group. Term only grows. Primary is a
// hint: the database itself says whether it is the primary at its term.
type Group struct {
	Term      uint64     `json:"term"`
	Primary   string     `json:"primary,omitempty"` // empty during a change of primary
	Candidate string     `json:"candidate,omitempty"`
	Nonce     string     `json:"nonce,omitempty"` // identifies the candidate's update
	Avoid     string     `json:"avoid,omitempty"` // resigned primary; the next candidate chooses another database if it can
	Databases []Database `json:"databases"`
}

// Instance is an entry of the platform's lagging list.
type Instance struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // host:port of the inner protocol
	Leaving    bool   `json:"leaving,omitempty"`
}

// API is what the instances need of the platform. Errors carry
// result.PlatformDown, result.Conflict, result.NotFound, result.Invalid or
// result.RateLimited.
type API interface {
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the version of the store.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Put stores data if the object's version is still version, and returns
	// the stored object. On a conflict it returns the current object and
	// result.Conflict.
	Put(ctx context.Context, kind, name string, version uint64, data []byte) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, kind, name string, version uint64) error
	// Watch waits up to wait for objects of the kind with a version above
	// after, and returns them in order of version. Deleted objects are
	// included. An empty list means that nothing changed.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Instances returns the lagging list of instances.
	Instances(ctx context.Context) ([]Instance, error)
}
