package route

import (
	"strings"

	"geraniumbeam/internal/result"
)

// Directives holds the values of a statement comment such as
// /* geraniumbeam class=booking key=42 partition=hut-7 */. Values that the comment
// does not have are empty, and their Has field is false.
type Directives struct {
	Class, Key, Partition          string
	HasClass, HasKey, HasPartition bool
}

// directivePrefix is the first word of a comment with directives.
const directivePrefix = "geraniumbeam"

// maxDirectiveBytes is the maximum length of a value.
const maxDirectiveBytes = 255

// parse adds the directives of one comment. Comments without the prefix are
// ignored.
func (d *Directives) parse(comment string) error {
	words := strings.Fields(comment)
	if len(words) == 0 || words[0] != directivePrefix {
		return nil
	}
	for _, w := range words[1:] {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			return result.Errorf(result.BadParameter, "directive %q in a comment has no value, want NAME=VALUE", w)
		}
		if len(value) > maxDirectiveBytes {
			return result.Errorf(result.BadParameter,
				"directive %s in a comment has a value of %d bytes, want at most %d", name, len(value), maxDirectiveBytes)
		}
		if err := d.set(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (d *Directives) set(name, value string) error {
	field, has := d.field(name)
	if field == nil {
		return result.Errorf(result.BadParameter, "unknown directive %q in a comment, want class, key or partition", name)
	}
	if *has && *field != value {
		return result.Errorf(result.BadParameter, "directive %s has two different values: %q and %q", name, *field, value)
	}
	*field, *has = value, true
	return nil
}

func (d *Directives) field(name string) (*string, *bool) {
	switch name {
	case "class":
		return &d.Class, &d.HasClass
	case "key":
		return &d.Key, &d.HasKey
	case "partition":
		return &d.Partition, &d.HasPartition
	}
	return nil, nil
}

// Merge adds the directives of another statement of the same batch. It fails with
// result.BadParameter if a directive has two different values.
func (d *Directives) Merge(o Directives) error {
	for _, v := range []struct {
		has         bool
		name, value string
	}{
		{o.HasClass, "class", o.Class},
		{o.HasKey, "key", o.Key},
		{o.HasPartition, "partition", o.Partition},
	} {
		if !v.has {
			continue
		}
		if err := d.set(v.name, v.value); err != nil {
			return err
		}
	}
	return nil
}
