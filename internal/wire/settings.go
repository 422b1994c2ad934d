package wire

import (
	"encoding/json"
	"fmt"
	"slices"

	"forkline"
)

// settingsJSON is the settings object of the protocol. Unknown keys are ignored.
type settingsJSON struct {
	Copies         int         `json:"balancers"`
	Rank           int         `json:"rank"`
	Stage          int         `json:"stage"`
	Stages         []string    `json:"stages"`
	Zone           int         `json:"locality"`
	Zones          []string    `json:"zones"`
	Kinds          []string    `json:"kinds"`
	MembershipMode string      `json:"membershipMode"`
	ValueBy        string      `json:"worthBy"`
	OverQuotaValue *float64    `json:"overShareWorth"`
	Classes        []classJSON `json:"classes"`
	Tenants        []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
	} `json:"parties"`
	Limits struct {
		MaxAttempts     int     `json:"maxAttempts"`
		MaxOpenRequests int     `json:"openCap"`
		CancelAttempts  bool    `json:"cancel"`
		Hedging         bool    `json:"secondCopies"`
		Probing         bool    `json:"probing"`
		SendRetryAfter  bool    `json:"retryAfter"`
		MaxRetryAfter   float64 `json:"maxRetryAfter"`
		ConnectTimeout  float64 `json:"connectTimeout"`
		IdleTimeout     float64 `json:"connIdle"`
		MaxStreams      int     `json:"streamsPerConn"`
	} `json:"limits"`
	Safety struct {
		AnswerSlack       float64 `json:"answerSlack"`
		DrainGrace        float64 `json:"drainGrace"`
		ColdCapacity      float64 `json:"coldFrom"`
		RampTime          float64 `json:"rampTime"`
		OverloadMultiple  float64 `json:"fallMultiple"`
		OverloadWindow    float64 `json:"tipAfter"`
		PollInterval      float64 `json:"askEvery"`
		DrainCloseTimeout float64 `json:"drainClose"`
		RetryBudgetMin    float64 `json:"budgetFree"`
		RetryBudgetRatio  float64 `json:"repeatRatio"`
		RetryBudgetWindow float64 `json:"lookBack"`
	} `json:"safety"`
	Goal struct {
		TotalWeight       float64 `json:"whole"`
		WorstWindowWeight float64 `json:"worstWindow"`
		WorstClassWeight  float64 `json:"worstClass"`
	} `json:"goal"`
	Costs struct {
		Probe float64 `json:"probe"`
	} `json:"prices"`
	Feedback struct {
		Fields []string `json:"fields"`
	} `json:"feedback"`
}

type classJSON struct {
	Name             string   `json:"name"`
	Value            *float64 `json:"worth"`
	LateValue        float64  `json:"lateWorth"`
	TargetLatency    float64  `json:"aim"`
	TargetWorkFactor float64  `json:"aimStretch"`
	Timeout          float64  `json:"giveUp"`
	Effect           string   `json:"effect"`
	Scope            string   `json:"group"`
	DedupWindow      float64  `json:"dedupWindow"`
	Stream           bool     `json:"stream"`
}

var effects = map[string]forkline.Effect{
	"read_like":       forkline.Safe,
	"idempotency_key": forkline.Keyed,
	"non_idempotent":  forkline.Unsafe,
}

var scopes = map[string]forkline.DedupScope{
	"all":  forkline.ScopeAll,
	"zone": forkline.ScopeZone,
	"cell": forkline.ScopeCell,
}

// Site holds the settings and the names of the zones and server kinds. The settings refer to these by index.
type Site struct {
	Settings     forkline.Settings
	Zones, Kinds []string
}

// ParseSettings decodes the settings object of an event that starts an instance.
func ParseSettings(text []byte) (forkline.Settings, error) {
	site, err := ParseSite(text)
	return site.Settings, err
}

// ParseSite decodes the same object for a host that also needs the names of the zones and kinds.
func ParseSite(text []byte) (Site, error) {
	var parsed settingsJSON
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	l, s := parsed.Limits, parsed.Safety
	settings := forkline.Settings{
		Copies:         parsed.Copies,
		Rank:           parsed.Rank,
		Stage:          parsed.Stage,
		Stages:         len(parsed.Stages),
		Zone:           parsed.Zone,
		PollList:       parsed.MembershipMode == "on_request",
		ValueByWork:    parsed.ValueBy == "work",
		ProbeCost:      parsed.Costs.Probe,
		ReportField:    1 + slices.Index(parsed.Feedback.Fields, "busy_reqs"),
		OverQuotaValue: orDefault(parsed.OverQuotaValue, 1),
		Limits: forkline.Limits{
			MaxAttempts: l.MaxAttempts, MaxOpenRequests: l.MaxOpenRequests, CancelAttempts: l.CancelAttempts,
			Hedging: l.Hedging, Probing: l.Probing, SendRetryAfter: l.SendRetryAfter,
			MaxRetryAfter: l.MaxRetryAfter, ConnectTimeout: l.ConnectTimeout,
			IdleTimeout: l.IdleTimeout, MaxStreams: l.MaxStreams,
		},
		Safety: forkline.Safety{
			AnswerSlack: s.AnswerSlack, DrainGrace: s.DrainGrace, ColdCapacity: s.ColdCapacity,
			RampTime: s.RampTime, OverloadMultiple: s.OverloadMultiple, OverloadWindow: s.OverloadWindow,
			PollInterval: s.PollInterval, DrainCloseTimeout: s.DrainCloseTimeout, RetryBudgetMin: s.RetryBudgetMin,
			RetryBudgetRatio: s.RetryBudgetRatio, RetryBudgetWindow: s.RetryBudgetWindow,
		},
	}
	if total := parsed.Goal.TotalWeight + parsed.Goal.WorstWindowWeight; total > 0 {
		settings.WorstClassWeight = max(parsed.Goal.WorstClassWeight, 0) / total
	}
	for i, c := range parsed.Classes {
		class, err := c.class()
		if err != nil {
			return Site{}, fmt.Errorf("settings: classes[%d]: %w", i, err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, t := range parsed.Tenants {
		settings.Tenants = append(settings.Tenants, forkline.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return Site{Settings: settings, Zones: parsed.Zones, Kinds: parsed.Kinds}, nil
}

// class converts a class to that of the balancer. An absent effect means unsafe and an absent group means the cell:
// these are the strictest values.
func (c classJSON) class() (forkline.Class, error) {
	effect, ok := effects[c.Effect]
	if c.Effect == "" {
		effect, ok = forkline.Unsafe, true
	}
	if !ok {
		return forkline.Class{}, fmt.Errorf("effect %q is unknown", c.Effect)
	}
	scope, ok := scopes[c.Scope]
	if c.Scope == "" {
		scope, ok = forkline.ScopeCell, true
	}
	if !ok {
		return forkline.Class{}, fmt.Errorf("group %q is unknown", c.Scope)
	}
	return forkline.Class{
		Name: c.Name, Value: orDefault(c.Value, 1), LateValue: c.LateValue,
		TargetLatency: c.TargetLatency, TargetWorkFactor: c.TargetWorkFactor, Timeout: c.Timeout,
		Effect: effect, Scope: scope, DedupWindow: c.DedupWindow, Stream: c.Stream,
	}, nil
}

// orDefault returns *v, or d if v is nil.
func orDefault(v *float64, d float64) float64 {
	if v == nil {
		return d
	}
	return *v
}
