package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/cranberrypier/cranberrypier/internal/document"
	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/executions"
)

// standInTimeout limits one HTTP request to a stand-in.
const standInTimeout = 10 * time.Second

// StandInLog is what a stand-in itself logged and counted during a run.
type StandInLog struct {
	Upstream   string
	Kind       document.Kind
	Address    string
	Executions []executions.Execution
	// Engine holds the engine's counters after the run. Engine and Settings are
	// nil for upstreams that are not engines.
	Engine   *engine.Counters
	Settings *engine.Settings
	// Before holds the engine's counters at the start of the run.
	Before *engine.Counters
	// executionsBefore is the number of executions logged before the run.
	executionsBefore int
}

// standIns reads the stand-ins of a document's upstreams.
type standIns struct {
	http http.Client
	logs []StandInLog
}

// newStandIns records the length of each execution log and the engines'
// counters and settings before a run.
func newStandIns(ctx context.Context, d *document.Document) (*standIns, error) {
	s := &standIns{http: http.Client{Timeout: standInTimeout}}
	for _, u := range d.Upstreams {
		if u.Kind == document.Rating {
			continue
		}
		l := StandInLog{Upstream: u.Name, Kind: u.Kind, Address: u.Address}
		rows, err := s.executions(ctx, &l)
		if err != nil {
			return nil, err
		}
		l.executionsBefore = len(rows)
		if u.Kind == document.Engine {
			l.Before, l.Settings = &engine.Counters{}, &engine.Settings{}
			if err := s.getJSON(ctx, u.Address, "/counters", l.Before); err != nil {
				return nil, err
			}
			if err := s.getJSON(ctx, u.Address, "/settings", l.Settings); err != nil {
				return nil, err
			}
		}
		s.logs = append(s.logs, l)
	}
	return s, nil
}

// collect reads the executions since newStandIns and the engines' counters.
func (s *standIns) collect(ctx context.Context) ([]StandInLog, error) {
	for i := range s.logs {
		l := &s.logs[i]
		rows, err := s.executions(ctx, l)
		if err != nil {
			return nil, err
		}
		l.Executions = rows
		if l.Kind != document.Engine {
			continue
		}
		l.Engine = &engine.Counters{}
		if err := s.getJSON(ctx, l.Address, "/counters", l.Engine); err != nil {
			return nil, err
		}
	}
	return s.logs, nil
}

func (s *standIns) executions(ctx context.Context, l *StandInLog) ([]executions.Execution, error) {
	body, err := s.get(ctx, l.Address, fmt.Sprintf("/executions?since=%d", l.executionsBefore))
	if err != nil {
		return nil, err
	}
	var out []executions.Execution
	lines := bufio.NewScanner(bytes.NewReader(body))
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		var e executions.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, trace.Wrap(err)
		}
		out = append(out, e)
	}
	return out, trace.Wrap(lines.Err())
}

func (s *standIns) getJSON(ctx context.Context, address, path string, out any) error {
	body, err := s.get(ctx, address, path)
	if err != nil {
		return err
	}
	return trace.Wrap(json.Unmarshal(body, out))
}

func (s *standIns) get(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = trace.Errorf("%s%s: %s", address, path, resp.Status)
	}
	return body, trace.Wrap(err)
}

// putFaults replaces the faults of a stand-in.
func (s *standIns) putFaults(ctx context.Context, f FaultAt) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.StandIn+"/faults", bytes.NewReader([]byte(f.Set)))
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineSize))
		return trace.Errorf("faults of %s: %s: %s", f.StandIn, resp.Status, body)
	}
	return nil
}
