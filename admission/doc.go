// Package admission decides which request may run now, which waits, and which is refused at once as not run.
package admission
