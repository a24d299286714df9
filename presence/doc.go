// Package presence tells who watches which VM and whether all members of a group are there now.
package presence
