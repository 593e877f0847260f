// Package app runs several stand-ins in one process.
package app

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/cranberrypier/cranberrypier/internal/fake/engine"
	"github.com/cranberrypier/cranberrypier/internal/fake/faults"
	"github.com/cranberrypier/cranberrypier/internal/fake/objectstore"
	"github.com/cranberrypier/cranberrypier/internal/fake/plainservice"
	"github.com/cranberrypier/cranberrypier/internal/fake/rating"
	"github.com/cranberrypier/cranberrypier/internal/result"
)

// Settings is the content of the settings file.
type Settings struct {
	StandIns []StandIn `yaml:"stand_ins"`
}

// StandIn configures one stand-in. Exactly one of Platform, Engine, Service and
// Rating must be set; it selects the kind of stand-in.
type StandIn struct {
	Name string `yaml:"name"`
	// Address is the IP:port to listen on.
	Address  string                 `yaml:"address"`
	Platform *objectstore.Settings  `yaml:"platform,omitempty"`
	Engine   *engine.Settings       `yaml:"engine,omitempty"`
	Service  *plainservice.Settings `yaml:"service,omitempty"`
	Rating   *rating.Settings       `yaml:"rating,omitempty"`
}

// Load reads and decodes a settings file. An unknown key is an error.
func Load(file string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(file)
	if err != nil {
		return s, trace.Wrap(result.New(result.SettingsInvalid, "%v", err))
	}
	if err := yaml.UnmarshalWithOptions(raw, &s, yaml.Strict()); err != nil {
		return s, trace.Wrap(result.New(result.SettingsInvalid, "%s: %s", file, yaml.FormatError(err, false, false)))
	}
	if len(s.StandIns) == 0 {
		return s, trace.Wrap(result.New(result.SettingsInvalid, "%s: stand_ins: at least one stand-in is required", file))
	}
	return s, nil
}

// App is the set of running stand-ins.
type App struct {
	servers []*faults.Server
}

// New builds all stand-ins and then starts their servers. If one cannot listen
// on its address, New closes those that were started.
func New(settings Settings) (*App, error) {
	a := &App{}
	for _, standIn := range settings.StandIns {
		server, err := standIn.build()
		if err != nil {
			return nil, err
		}
		a.servers = append(a.servers, server)
	}
	for i, standIn := range settings.StandIns {
		if err := a.servers[i].Start(standIn.Address); err != nil {
			a.Close()
			return nil, err
		}
	}
	return a, nil
}

func (s StandIn) build() (*faults.Server, error) {
	var servers []*faults.Server
	if s.Platform != nil {
		servers = append(servers, objectstore.New(s.Name, *s.Platform).Server)
	}
	if s.Engine != nil {
		servers = append(servers, engine.New(s.Name, *s.Engine).Server)
	}
	if s.Service != nil {
		servers = append(servers, plainservice.New(s.Name, *s.Service).Server)
	}
	if s.Rating != nil {
		servers = append(servers, rating.New(s.Name, *s.Rating).Server)
	}
	if len(servers) != 1 || s.Address == "" || s.Name == "" {
		return nil, trace.Wrap(result.New(result.SettingsInvalid,
			"stand-in %q needs a name, an address and exactly one of platform, engine, service, rating", s.Name))
	}
	return servers[0], nil
}

// Addresses returns the listening addresses in the order of the settings.
func (a *App) Addresses() []string {
	var out []string
	for _, s := range a.servers {
		out = append(out, s.Address())
	}
	return out
}

// Close stops all stand-ins.
func (a *App) Close() {
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// Run serves the stand-ins of the settings file until ctx is done.
func Run(ctx context.Context, file string) error {
	container := dig.New()
	err := errors.Join(
		container.Provide(func() (Settings, error) { return Load(file) }),
		container.Provide(New),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	err = container.Invoke(func(a *App) {
		klog.Infof("fake: started %d stand-ins", len(a.servers))
		<-ctx.Done()
		start := time.Now()
		a.Close()
		klog.Infof("fake: stopped in %v", time.Since(start))
	})
	return trace.Wrap(dig.RootCause(err))
}
