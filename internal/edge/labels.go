package edge

import "sync"

// otherLabel stands for the values beyond a label's bound.
const otherLabel = "other"

// labelSet bounds the values of a label to those that came first.
type labelSet struct {
	maxValues int
	mu        sync.Mutex
	seen      map[string]bool
}

// bound returns the value, or otherLabel when there are too many.
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
