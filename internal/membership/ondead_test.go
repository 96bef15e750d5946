package membership

import (
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"geraniumbeam/internal/directory"
	"geraniumbeam/internal/ownership"
	"geraniumbeam/internal/wire"
)

// Guards against calls to a dead instance that stay open, and against closing the
// connections to an instance that reuses the address of a dead one.
func TestOnDeadSkipsReusedAddress(t *testing.T) {
	self := ownership.Instance{Name: "a", Address: "a:1", DataCentre: "dc1"}
	var closed []string
	m := New(Config{
		Directory: directory.New(self), Clients: wire.NewControlClients(nil), Log: zerolog.Nop(),
		OnDead: func(address string) { closed = append(closed, address) },
	})
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.setMember(now, Member{Name: "c", Address: "shared:1", DataCentre: "dc1", Incarnation: 1}, "test")
	dead := func(name, address string) {
		m.recordEvent(Event{Member: Member{Name: name, Address: address, DataCentre: "dc1", Status: Dead}, Known: true})
	}
	dead("b", "b:1")
	dead("d", "shared:1")
	if want := []string{"b:1"}; !slices.Equal(closed, want) {
		t.Errorf("OnDead called for %v, want %v", closed, want)
	}
}
