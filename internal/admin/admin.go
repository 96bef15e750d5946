// Package admin implements the operators' API of an instance: its state, its view
// of the other instances, its recorded events and its graceful shutdown.
package admin

import (
	"context"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/events"
	"geraniumbeam/internal/wire"
)

// MemberLister lists the instances that membership knows.
type MemberLister interface {
	Members() []*wire.Member
}

// Databases returns the status of the databases that the instance owns. An empty
// group means all groups.
type Databases interface {
	Statuses(group string) []*wire.DatabaseStatus
}

// Config holds the dependencies of a Service.
type Config struct {
	Version   string
	Directory *directory.Directory
	Members   MemberLister
	Databases Databases
	Events    *events.Ring
	State     func() string // "running" or "draining"
	Callers   func() int
	Drain     func() // starts a graceful shutdown; must not block
}

// Service implements wire.Admin.
type Service struct {
	cfg Config
}

// New returns a Service.
func New(cfg Config) *Service { return &Service{cfg: cfg} }

// Status implements wire.Admin.
func (s *Service) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	d := s.cfg.Directory
	self := d.Self()
	resp := &wire.StatusResponse{
		Instance:       self.Name,
		DataCentre:     self.DataCentre,
		Version:        s.cfg.Version,
		State:          s.cfg.State(),
		CatalogVersion: d.Version(),
		Members:        s.cfg.Members.Members(),
		Databases:      s.cfg.Databases.Statuses(""),
		Callers:        uint64(s.cfg.Callers()),
	}
	for _, o := range d.Objects() {
		resp.Objects = append(resp.Objects, &wire.ObjectVersion{Kind: o.Kind, Name: o.Name, Version: o.Version})
	}
	for _, g := range d.Groups() {
		resp.Groups = append(resp.Groups, &wire.GroupHint{Group: g.Name, Term: g.Term, Primary: g.Primary})
	}
	return resp, nil
}

// maxEvents limits the events in one response.
const maxEvents = 1000

// Events implements wire.Admin. Without a request ID it returns only events that
// do not belong to a request.
func (s *Service) Events(_ context.Context, req *wire.EventsRequest) (*wire.EventsResponse, error) {
	limit := int(req.GetLimit())
	if limit == 0 || limit > maxEvents {
		limit = maxEvents
	}
	resp := &wire.EventsResponse{}
	found := s.cfg.Events.Decisions(req.GetGroup(), limit)
	if req.GetRequestId() != "" {
		found = s.cfg.Events.Find(req.GetRequestId(), req.GetGroup(), limit)
	}
	for _, e := range found {
		resp.Events = append(resp.Events, &wire.Event{
			TimeUnixMicro: e.Time.UnixMicro(),
			Instance:      e.Instance,
			Kind:          string(e.Kind),
			RequestId:     e.Request,
			Group:         e.Group,
			Database:      e.Database,
			Class:         e.Class,
			Text:          e.Text,
			Code:          uint32(e.Code),
		})
	}
	return resp, nil
}

// Drain implements wire.Admin.
func (s *Service) Drain(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
	s.cfg.Drain()
	return &wire.DrainResponse{}, nil
}
