// Package engine is a stand-in for a model engine. It has deterministic answers,
// batching with a priority queue, cold starts that fail under overload, a prefix
// cache whose events are delayed and partly lost, delayed load reports and
// orders with fencing numbers.
package engine

import (
	"time"

	"github.com/cranberrypier/cranberrypier/internal/document"
)

// Settings configures one engine.
type Settings struct {
	// Versions lists the model versions that the engine can load.
	Versions []VersionSettings `yaml:"versions"`
	// Limit is the maximum number of concurrent runs. Further runs are queued.
	Limit int `yaml:"limit"`
	// QueueLimit is the maximum number of queued runs. Further requests are
	// rejected and marked as not run.
	QueueLimit int `yaml:"queue_limit"`
	// ColdLimit is the maximum number of concurrent runs that arrived while the
	// engine was cold.
	ColdLimit int `yaml:"cold_limit"`
	// ColdTime is the duration of a cold start. With zero the engine starts warm.
	ColdTime document.Duration `yaml:"cold_time"`
	// OverColdLimit is the reaction to a request above ColdLimit: "accept" only
	// counts the violation, "refuse" also rejects the request as not run,
	// "fall_over" crashes the engine, which restarts cold.
	OverColdLimit ColdOverloadReaction `yaml:"over_cold_limit"`
	// TokensPerSecond is the token rate of a single run. Zero means no delay.
	TokensPerSecond float64 `yaml:"tokens_per_second"`
	// PrefillPerToken is the processing time of one uncached prompt token.
	PrefillPerToken document.Duration `yaml:"prefill_per_token"`
	// MinTokens and MaxTokens bound the length of answers. QualitySpread is the
	// half width of the variation of their quality between prompts.
	MinTokens     int     `yaml:"min_tokens"`
	MaxTokens     int     `yaml:"max_tokens"`
	QualitySpread float64 `yaml:"quality_spread"`
	// LoadLag is the delay of load reports.
	LoadLag document.Duration `yaml:"load_lag"`
	// CacheEntries is the maximum number of entries of the prefix cache.
	CacheEntries int `yaml:"cache_entries"`
	// CacheLag is the delay of cache events. Every CacheGap-th event is lost;
	// zero loses none.
	CacheLag document.Duration `yaml:"cache_lag"`
	CacheGap int               `yaml:"cache_gap"`
	// LoadTime is the time from an order to load a version until it is loaded.
	LoadTime document.Duration `yaml:"load_time"`
	// Fencing makes the engine reject orders with a fencing number below the
	// highest one received.
	Fencing bool `yaml:"fencing"`
}

// VersionSettings configures one model version.
type VersionSettings struct {
	// Name is "model@version".
	Name string `yaml:"name"`
	// Quality is the mean quality of its answers, from 0 to 1.
	Quality float64 `yaml:"quality"`
	// NotLoaded means that the version must be loaded by an order before use.
	NotLoaded bool `yaml:"not_loaded"`
	// Speed multiplies TokensPerSecond. Default 1.
	Speed float64 `yaml:"speed"`
}

// ColdOverloadReaction is the reaction to a request above ColdLimit during a cold start.
type ColdOverloadReaction string

// Reactions to a request above ColdLimit, as Settings.OverColdLimit describes them.
const (
	Accept   ColdOverloadReaction = "accept"
	Reject   ColdOverloadReaction = "refuse"
	FallOver ColdOverloadReaction = "fall_over"
)

const (
	defaultLimit        = 16
	defaultColdLimit    = 2
	defaultCacheEntries = 256
	defaultMinTokens    = 20
	defaultMaxTokens    = 60
	// coldSlowdown divides the token rate while the engine is cold.
	coldSlowdown = 4
	// cachedPrefillShare is the share of the prefill time that remains when the
	// prefix is cached.
	cachedPrefillShare = 0.1
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

// tokenInterval returns the time per token of one run when the given number of
// runs is running.
func (s Settings) tokenInterval(v VersionSettings, running int, cold bool) time.Duration {
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
	// A full batch halves the rate of each run.
	batch := 1 + float64(running)/float64(s.Limit)
	return time.Duration(batch / rate * float64(time.Second))
}
