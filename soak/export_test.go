package soak

// ConfigOf returns a version with so many added routes.
var ConfigOf = configOf

// WithVersion returns a configuration under another version.
var WithVersion = withVersion
