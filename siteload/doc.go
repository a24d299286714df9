// Package siteload sums what the entries of a site report of the requests for each model: how many wait, arrive and are sent, and how
// late first events are.
package siteload
