package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// request is one request to send.
type request struct {
	sql   string
	write bool
}

// statements makes requests of one caller. Statements may contain {row} (a row
// number), {caller} (the caller's name), {key} (unique over all runs) and {n}
// (counts the caller's requests).
type statements struct {
	scenario *Scenario
	class    *Class
	caller   string
	run      string
	rng      *rand.Rand
	requests int
}

func (s *statements) next() request {
	s.requests++
	r := request{write: s.rng.Float64() >= s.class.ReadShare}
	pool := s.class.Reads
	if r.write {
		pool = s.class.Writes
	}
	row := s.rng.IntN(s.scenario.Rows)
	key := fmt.Sprintf("%s-%s-%d", s.run, s.caller, s.requests)
	r.sql = expandPlaceholders(pool[s.rng.IntN(len(pool))], row, s.requests, s.caller, key)
	requestKey := ""
	if r.write && s.class.RequestKeys {
		requestKey = key
	}
	r.sql = directive(s.scenario.Partitions, row, requestKey) + r.sql
	return r
}

func expandPlaceholders(sql string, row, n int, caller, key string) string {
	return strings.NewReplacer("{row}", strconv.Itoa(row), "{n}", strconv.Itoa(n), "{caller}", caller, "{key}", key).Replace(sql)
}

// directive returns the comment that names partition and request key.
func directive(partitions, row int, key string) string {
	var words []string
	if partitions > 0 {
		words = append(words, "partition="+partitionName(row%partitions))
	}
	if key != "" {
		words = append(words, "key="+key)
	}
	if len(words) == 0 {
		return ""
	}
	return "/* geraniumbeam " + strings.Join(words, " ") + " */ "
}

func partitionName(i int) string { return fmt.Sprintf("p%d", i) }
