// Package admission decides which requests run now, which wait, and which are refused before they run.
package admission
