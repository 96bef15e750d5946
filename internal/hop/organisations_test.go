package hop

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"geraniumbeam/internal/admission"
	"geraniumbeam/internal/dbpool"
	"geraniumbeam/internal/result"
	"geraniumbeam/internal/statement"
)

func acquireAs(t *testing.T, p *dbpool.Pool, organisation string) *dbpool.Lease {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	l, err := p.Acquire(ctx, admission.Request{Class: "c", Organisation: organisation}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a statement that an owner runs under the name of another organisation
// than that of the request, whose connection to the owner served another one before.
func TestOwnerRunsRequestsUnderTheirOrganisation(t *testing.T) {
	o := newOwner(t, 3)
	p := o.clientPoolFor(true)
	for _, organisation := range []string{"a", "b", "a", "b"} {
		l := acquireAs(t, p, organisation)
		if _, err := l.Run(dbpool.Exchange{Statement: readStatement("for " + organisation), Deadline: testDeadline()}); err != nil {
			t.Fatal(err)
		}
		l.Release()
	}
	if got := strings.Join(o.db.names, ","); got != "a,b" {
		t.Fatalf("the owner opened connections under %q, want one for each organisation", got)
	}
	for i, c := range o.db.conns {
		for _, cmd := range c.received {
			if cmd.Statement.Text != "for "+o.db.names[i] {
				t.Errorf("%q ran on a connection of %s", cmd.Statement.Text, o.db.names[i])
			}
		}
	}
}

// Guards against a transaction of which a later statement belongs to another
// organisation.
func TestTransactionKeepsItsOrganisation(t *testing.T) {
	o := newOwner(t, 3)
	p := o.clientPoolFor(true)
	l := acquireAs(t, p, "a")
	begin := statement.Statement{Kind: statement.Begin, Text: "BEGIN"}
	if _, err := l.Run(dbpool.Exchange{Begin: &begin, Statement: readStatement("one"), Deadline: testDeadline()}); err != nil {
		t.Fatal(err)
	}
	conn, err := Dial(t.Context(), o.address, "db-1", DialOptions{Organisations: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // not used afterwards
	c := conn.(*ownerConn)
	do := func(organisation, text string) error {
		c.Prioritize(admission.Request{Organisation: organisation})
		_, err := c.Do(testDeadline(), []statement.Command{{Op: statement.OpStatement, Statement: statement.Statement{Kind: statement.Begin, Text: text}}})
		return err
	}
	if err := do("b", "BEGIN"); err != nil {
		t.Fatal(err)
	}
	var notSent *dbpool.NotSentError
	if err := do("c", "of another organisation"); !errors.As(err, &notSent) {
		t.Errorf("error %v, want a NotSentError", err)
	}
	for _, c := range o.db.conns {
		for _, cmd := range c.received {
			if cmd.Statement.Text == "of another organisation" {
				t.Error("the statement ran in the transaction of another organisation")
			}
		}
	}
	l.Discard()
}

// Guards against a request that runs under a wrong organisation, because the owner is of
// an earlier release and does not know the field.
func TestOwnerWithoutOrganisationsIsNotUsed(t *testing.T) {
	requests := make(chan request, 1)
	address := listenAsOwner(t, func(r request) reply {
		requests <- r
		return reply{Answers: make([]statement.Answer, len(r.Commands))}
	})
	o := &owner{address: address}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := o.clientPoolFor(true).Acquire(ctx, admission.Request{Class: "c", Organisation: "a"}, nil); !result.Is(err, result.DatabaseDown) {
		t.Errorf("error %v, want an owner that is not usable", err)
	}
	// The connection was opened before the deployment had organisations.
	l := acquireAs(t, o.clientPool(), "a")
	var notSent *dbpool.NotSentError
	if _, err := l.Run(dbpool.Exchange{Statement: readStatement("x"), Deadline: testDeadline()}); !errors.As(err, &notSent) {
		t.Errorf("error %v, want a NotSentError", err)
	}
	l.Discard()
	if len(requests) > 0 {
		t.Error("a request was sent")
	}
}

// Guards against a handshake or a request that differs from those of earlier releases in a
// deployment without organisations.
func TestProtocolIsUnchangedWithoutOrganisations(t *testing.T) {
	var sent bytes.Buffer
	plain := &ownerConn{enc: gob.NewEncoder(&sent)}
	if err := plain.send(request{ID: "r"}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(sent.String(), "rganisation") {
		t.Errorf("the request contains the field: %q", sent.String())
	}
	o := newOwner(t, 1)
	for _, organisations := range []bool{false, true} {
		c, err := net.Dial("tcp", o.address)
		if err != nil {
			t.Fatal(err)
		}
		headers := "GET " + Path + "?id=db-1 HTTP/1.1\r\nHost: o\r\nConnection: Upgrade\r\nUpgrade: " + upgrade + "\r\n"
		if organisations {
			headers += organisationsHeader + ": 1\r\n"
		}
		if _, err := c.Write([]byte(headers + "\r\n")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4096)
		n, err := c.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(buf[:n]), organisationsHeader) != organisations {
			t.Errorf("organisations %v: the owner answers %q", organisations, buf[:n])
		}
		_ = c.Close() // nothing else is read
	}
}
