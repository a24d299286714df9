// Package siteload sums what the entries of a site report of the requests for each model: how many wait, arrive and are sent, how
// late first events are, and how much work customers ask for.
package siteload
