package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/result-codes.md")

const docsPath = "../../docs/result-codes.md"

func document() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Errors of the proxy itself start with a code such as GB3001. Errors of the database are forwarded unchanged.\n")
	b.WriteString("\"Run\" states whether the request was run: `no` guarantees that it had no effect. If more is known about a\n")
	b.WriteString("request than the table says, the error's detail contains it. Generated from the table in `internal/result` by\n")
	b.WriteString("`go test ./internal/result -update`.\n\n")
	b.WriteString("| code | name | SQLSTATE | run | retry may help | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, i := range Table() {
		retry := "no"
		if i.Retryable {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", i.Code, i.Name, i.SQLState, i.Ran, retry, i.Meaning)
	}
	return b.String()
}

// Guards against a table in docs/result-codes.md that differs from the code.
func TestDocumentMatchesTable(t *testing.T) {
	if *update {
		if err := os.WriteFile(docsPath, []byte(document()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(docsPath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != document() {
		t.Errorf("%s is out of date; run go test ./internal/result -update", docsPath)
	}
}
