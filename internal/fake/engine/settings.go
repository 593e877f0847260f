// Package engine is the stand-in of a model engine: deterministic answers,
// batching with a priority queue, cold starts that overload breaks, a prefix
// cache whose events come late and with gaps, lagging load reports and fenced
// orders.
package engine

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// Settings of one engine.
type Settings struct {
	// Versions are the versions that can be loaded.
	Versions []VersionSettings `yaml:"versions"`
	// Limit is the most concurrent runs; more are queued.
	Limit int `yaml:"limit"`
	// QueueLimit is the most queued runs; more are refused as not run.
	QueueLimit int `yaml:"queue_limit"`
	// ColdLimit is the most work that the engine bears while cold.
	ColdLimit int `yaml:"cold_limit"`
	// ColdTime is how long a cold start lasts; zero starts warm.
	ColdTime document.Duration `yaml:"cold_time"`
	// OverColdLimit is what happens above ColdLimit: "accept" only counts the
	// violation, "refuse" also answers not run, "fall_over" restarts cold.
	OverColdLimit ColdOverloadReaction `yaml:"over_cold_limit"`
	// TokensPerSecond is one run's rate when alone; zero means no delay.
	TokensPerSecond float64 `yaml:"tokens_per_second"`
	// PrefillPerToken is the time for one prompt token that is not cached.
	PrefillPerToken document.Duration `yaml:"prefill_per_token"`
	// MinTokens, MaxTokens and QualitySpread shape answers.
	MinTokens     int     `yaml:"min_tokens"`
	MaxTokens     int     `yaml:"max_tokens"`
	QualitySpread float64 `yaml:"quality_spread"`
	// LoadLag delays load reports.
	LoadLag document.Duration `yaml:"load_lag"`
	// CacheEntries bounds the prefix cache.
	CacheEntries int `yaml:"cache_entries"`
	// CacheLag delays cache events; each CacheGap-th event is lost.
	CacheLag document.Duration `yaml:"cache_lag"`
	CacheGap int               `yaml:"cache_gap"`
	// LoadTime is how long an order to load a version takes.
	LoadTime document.Duration `yaml:"load_time"`
	// Fencing is true when orders with old numbers are refused.
	Fencing bool `yaml:"fencing"`
}

// VersionSettings describe one version.
type VersionSettings struct {
	// Name is "model@version".
	Name string `yaml:"name"`
	// Quality is the mean quality of its answers, from 0 to 1.
	Quality float64 `yaml:"quality"`
	// NotLoaded is true when an order must load the version first.
	NotLoaded bool `yaml:"not_loaded"`
	// Speed multiplies TokensPerSecond. Default 1.
	Speed float64 `yaml:"speed"`
}

// OverColdLimit is the reaction to too much work in a cold start.
type ColdOverloadReaction string

// Reactions to too much work in a cold start.
const (
	Accept   ColdOverloadReaction = "accept"
	Refuse   ColdOverloadReaction = "refuse"
	FallOver ColdOverloadReaction = "fall_over"
)

const (
	defaultLimit        = 16
	defaultColdLimit    = 2
	defaultCacheEntries = 256
	defaultMinTokens    = 20
	defaultMaxTokens    = 60
	// coldSlowdown divides the token rate while cold.
	coldSlowdown = 4
	// cachedShare is the share of the prefill time for a cached prefix.
	cachedShare = 0.1
)

func (s Settings) withDefaults() Settings {
	if s.Limit <= 0 {
		s.Limit = defaultLimit
	}
	if s.QueueLimit <= 0 {
		s.QueueLimit = 4 * s.Limit
	}
	if s.ColdLimit <= 0 {
		s.ColdLimit = defaultColdLimit
	}
	if s.OverColdLimit == "" {
		s.OverColdLimit = Accept
	}
	if s.CacheEntries <= 0 {
		s.CacheEntries = defaultCacheEntries
	}
	if s.MinTokens <= 0 {
		s.MinTokens, s.MaxTokens = defaultMinTokens, max(s.MaxTokens, defaultMaxTokens)
	}
	return s
}

// interval returns the time of one token for a run among running ones.
func (s Settings) interval(v VersionSettings, running int, cold bool) time.Duration {
	if s.TokensPerSecond <= 0 {
		return 0
	}
	rate := s.TokensPerSecond
	if v.Speed > 0 {
		rate *= v.Speed
	}
	if cold {
		rate /= coldSlowdown
	}
	// A full batch halves each run's rate.
	batch := 1 + float64(running)/float64(s.Limit)
	return time.Duration(batch / rate * float64(time.Second))
}
