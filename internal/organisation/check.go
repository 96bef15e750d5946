package organisation

// Finding is something in a configuration that its author has probably not intended.
type Finding struct {
	Organisation string
	Other        string // another organisation that is concerned; may be empty
	Text         string
}

// Check returns what is probably not intended. Organisations are identified by name, never
// by a key.
func Check(all []Organisation) []Finding {
	var found []Finding
	holders := make(map[Digest]string, len(all))
	names := make(map[string]bool, len(all))
	for _, o := range all {
		if names[o.Name] {
			found = append(found, Finding{Organisation: o.Name, Text: "the organisation is listed more than once; the limit of its first entry applies"})
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			found = append(found, Finding{Organisation: o.Name, Text: "the organisation has no keys"})
		}
		if o.Limited && o.Rate == 0 {
			found = append(found, Finding{Organisation: o.Name, Text: "the organisation has a limit of zero operations per second"})
		}
		found = append(found, sharedKeys(o, holders)...)
	}
	return found
}

// sharedKeys reports keys of o that another organisation holds, once for each of these,
// and adds those of o to holders.
func sharedKeys(o Organisation, holders map[Digest]string) []Finding {
	var found []Finding
	reported := make(map[string]bool)
	for _, k := range o.Keys {
		holder, held := holders[k]
		if !held {
			holders[k] = o.Name
			continue
		}
		if holder != o.Name && !reported[holder] {
			reported[holder] = true
			found = append(found, Finding{Organisation: holder, Other: o.Name, Text: "two organisations have the same key; it is that of the first one"})
		}
	}
	return found
}
