package edge

import "sync"

// otherLabel is the shared label for values beyond the limit.
const otherLabel = "other"

// labelSet limits the number of values of a metric label to the first maxValues
// distinct ones.
type labelSet struct {
	maxValues int
	mu        sync.Mutex
	seen      map[string]bool
}

// labelFor returns the value itself, or otherLabel if the set is full.
func (l *labelSet) labelFor(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[value] {
		return value
	}
	if len(l.seen) >= l.maxValues {
		return otherLabel
	}
	if l.seen == nil {
		l.seen = make(map[string]bool)
	}
	l.seen[value] = true
	return value
}
