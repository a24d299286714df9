// Package sharing decides which entries of a large site use which groups, and how a number of permits is divided among the entries.
package sharing
