package main

import "sync"

// sentStatements holds the statements that callers sent. It is safe for concurrent use.
type sentStatements struct {
	mu   sync.Mutex
	text map[string]string // by id
}

// sent holds what all callers sent since the start of the program.
var sent = sentStatements{text: make(map[string]string)}

func (s *sentStatements) add(id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text[id] = text
}

// find returns the text of the statement with an id, and whether a caller sent it.
func (s *sentStatements) find(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, ok := s.text[id]
	return text, ok
}
