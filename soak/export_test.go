package soak

import "github.com/dunlinquay/dunlinquay/settings"

// ConfigOf returns a version with so many added routes.
var ConfigOf = configOf

// WithVersion returns a configuration under another version.
var WithVersion = withVersion

// ModelService is the service with two routes of different priorities.
const ModelService = modelService

// Settings returns the settings of a daemon with every part of its scheduling.
func Settings() *settings.Site {
	cfg := settings.DefaultSite()
	cfg.Scheduling = scheduling()
	return &cfg
}
