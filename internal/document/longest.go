package document

import (
	"fmt"
	"time"
)

// LongerThan describes each class and call whose requests may take longer than
// grace, in the document's order. Because of them, a planned stop may have to
// wait longer than its configured grace period.
func (d *Document) DescribeRequestsLongerThan(grace time.Duration) []string {
	var out []string
	for _, c := range d.Classes {
		if c.Deadline.D() > grace {
			out = append(out, fmt.Sprintf("class %s: deadline %s", c.Name, c.Deadline.D()))
		}
	}
	for _, s := range d.Services {
		for _, c := range s.Calls {
			if c.Timeout.D() > grace {
				out = append(out, fmt.Sprintf("service %s, %s %s: timeout %s", s.Name, c.Method, c.Path, c.Timeout.D()))
			}
		}
	}
	return out
}

// MaxRequestTime returns the maximum time that any request may take.
func (d *Document) MaxRequestTime() time.Duration {
	var out time.Duration
	for _, c := range d.Classes {
		out = max(out, c.Deadline.D())
	}
	for _, s := range d.Services {
		for _, c := range s.Calls {
			out = max(out, c.Timeout.D())
		}
	}
	return out
}
