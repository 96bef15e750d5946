// Package quota divides the limits of organisations among instances. Share is the part
// of an instance, Allocator that of the one instance, the coordinator, that divides the
// limits. Neither does I/O, and both get the time as an argument. It must include the
// time for which a machine is suspended.
//
// Invariant: at any moment the rates of all shares and of the coordinator's pool add up
// to at most Limit.Rate, and all that may be stored to at most Limit.Storage, over all
// processes, also those that are suspended or cut off. So any span of time t sees at
// most Limit.Rate t + Limit.Storage permits. docs/design/limits.md gives the argument.
package quota
