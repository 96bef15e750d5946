package platform

import (
	"strconv"

	"geraniumbeam/internal/result"
)

// A platform that is restored from an older copy gives out versions again and raises
// its era. The client puts the era into the high bits of all versions, so that those of
// a later era are higher everywhere in the fleet, and takes it out again for the calls.

// eraHeader is the header of responses that holds the era. Without it the era is 0.
const eraHeader = "Store-Era"

// eraShift is the number of bits of a version that hold the platform's own counter.
const eraShift = 40

func withEra(version, era uint64) uint64 {
	if version == NoVersion {
		return NoVersion
	}
	return era<<eraShift | version
}

func eraOf(version uint64) uint64    { return version >> eraShift }
func numberOf(version uint64) uint64 { return version & (1<<eraShift - 1) }

// withEra returns the object under its version in an era.
func (o Object) withEra(era uint64) Object {
	o.Version = withEra(o.Version, era)
	return o
}

func (l ObjectList) withEra(era uint64) ([]Object, uint64) {
	for i := range l.Objects {
		l.Objects[i] = l.Objects[i].withEra(era)
	}
	return l.Objects, withEra(l.Version, era)
}

// observeEra notes the era of a response.
func (c *Client) observeEra(era uint64) {
	for old := c.era.Load(); era > old; old = c.era.Load() {
		if c.era.CompareAndSwap(old, era) {
			return
		}
	}
}

// checkEra fails if a call that names a version was answered in another era, in which
// the number stands for something else. Whether a change took effect is unknown.
func (k call) checkEra(version, era uint64) error {
	if version == NoVersion || version == AnyVersion || eraOf(version) == era {
		return nil
	}
	return k.unavailable(result.Errorf(result.Conflict, "version %d is of era %d, and the platform was restored to era %d", version, eraOf(version), era))
}

func versionText(v uint64) string {
	if v == AnyVersion {
		return AnyVersionText
	}
	return strconv.FormatUint(numberOf(v), 10)
}
