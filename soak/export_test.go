package soak

// ConfigOf returns a version with so many added routes.
var ConfigOf = configOf

// WithVersion returns a configuration under another version.
var WithVersion = withVersion

// WrongConfigs returns a configuration with each defect.
func WrongConfigs(n uint64, added int) map[string][]byte {
	list := map[string][]byte{}
	for _, d := range defects {
		list[d.name] = d.apply(configOf(n, added))
	}
	return list
}
