// Package fairshare counts the work that customers get and ask for, and finds which of them ask for more than their fair share while capacity
// is short.
package fairshare
