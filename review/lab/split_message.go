package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	splitCallers = 6
	// splitPieces is the number of lines of a note, and pieceInterval the pause
	// between two lines.
	splitPieces   = 12
	pieceInterval = 100 * time.Millisecond
	splitLength   = 14 * time.Second
	splitTermAt   = 2 * time.Second
)

// playSplitMessage lets callers write long notes in transactions. They send a note
// line by line while they produce it, so one message arrives in several segments over
// 1.2 s. The lines quote statements, as a note about an earlier request does.
// Meanwhile one instance gets SIGTERM. The databases may run only statements that a
// caller sent, with their text unchanged.
func playSplitMessage(rec *record, trouble bool) ([]string, error) {
	d, err := startDeployment(rec, deploymentConfig{instances: 3, maxConnections: 30})
	defer d.close()
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(splitLength)
	var wg sync.WaitGroup
	for n := range splitCallers {
		wg.Go(func() { noteWriter{rec: rec, name: fmt.Sprintf("caller-%d", n), d: d, number: n}.run(end) })
	}
	time.Sleep(splitTermAt)
	if trouble {
		rec.add("platform", "SIGTERM to %s", d.instances[0].name)
		if err := d.instances[0].signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return unasked(rec, d), nil
}

// unasked returns the statements that a database ran although no caller sent them, or
// with another text, and records all runs.
func unasked(rec *record, d *deployment) []string {
	var breaches []string
	for _, run := range d.group.Runs() {
		rec.addAt(run.At, run.Database, "runs %s: %s, in the transaction of %q, commits %d", run.ID, run.Text, run.BeginID, len(run.Committed))
		text, ok := sent.find(run.ID)
		switch {
		case !ok:
			breaches = append(breaches, fmt.Sprintf("%s ran a statement with the id %s, which no caller sent: %s", run.Database, run.ID, run.Text))
		case text != run.Text && !strings.HasPrefix(text, "EXECUTE "):
			breaches = append(breaches, fmt.Sprintf("%s ran %s with another text than was sent", run.Database, run.ID))
		}
	}
	return breaches
}

// noteWriter is a caller that writes notes until a given time.
type noteWriter struct {
	rec    *record
	name   string
	d      *deployment
	number int
	notes  int
}

func (w noteWriter) run(end time.Time) {
	next := 0 // the instance to connect to
	for time.Now().Before(end) {
		c, err := dial(w.d.instances[next%len(w.d.instances)].callers, routePrimary)
		next++
		if err != nil {
			time.Sleep(pieceInterval)
			continue
		}
		w.rec.add(w.name, "opens a session with %s", w.d.instances[(next-1)%len(w.d.instances)].name)
		for time.Now().Before(end) && w.writeNote(c) == nil {
			time.Sleep(pieceInterval)
		}
		c.close()
	}
}

// writeNote writes one note in a transaction. An error means that the session can't be
// used any more.
func (w *noteWriter) writeNote(c *callerConn) error {
	w.notes++
	if err := w.statement(c, "BEGIN"); err != nil {
		return err
	}
	if err := w.statement(c, fmt.Sprintf("READ hut-%d", w.number)); err != nil {
		return err
	}
	if err := w.streamedWrite(c); err != nil {
		return err
	}
	return w.statement(c, "COMMIT")
}

// statement sends a statement in one piece.
func (w *noteWriter) statement(c *callerConn, text string) error {
	id := newID(w.name)
	w.rec.add(w.name, "sends %s: %s", id, text)
	a, err := c.query(id, text)
	return w.finish(id, a, err)
}

// streamedWrite sends a WRITE line by line.
func (w *noteWriter) streamedWrite(c *callerConn) error {
	id := newID(w.name)
	item := fmt.Sprintf("hut-%d", w.number)
	pieces := []string{"The vendor asks about these requests: "}
	for n := range splitPieces {
		pieces = append(pieces, fmt.Sprintf("QUERY quoted-%d-%d-%d WRITE %s line-%d of the log; ", w.number, w.notes, n, item, n))
	}
	text := "WRITE " + item + " " + strings.Join(pieces, "")
	sent.add(id, text)
	w.rec.add(w.name, "sends %s in %d pieces: %s", id, len(pieces), text)
	pieces[0] = "QUERY " + id + " WRITE " + item + " " + pieces[0]
	pieces[len(pieces)-1] += "\r\n"
	for _, p := range pieces {
		if err := c.send(p); err != nil {
			return w.finish(id, answer{}, err)
		}
		time.Sleep(pieceInterval)
	}
	a, err := c.receive()
	return w.finish(id, a, err)
}

// finish records an answer, and returns an error if the operation can't go on.
func (w *noteWriter) finish(id string, a answer, err error) error {
	if err != nil {
		w.rec.add(w.name, "%s has no complete answer: %v (error code %q)", id, err, a.code)
		return err
	}
	w.rec.add(w.name, "%s is answered: %s", id, a)
	if a.code != "" {
		return fmt.Errorf("%s failed: %s", id, a.code)
	}
	return nil
}
