package site

// NextMembers lets the external tests drive membership without daemons.
var NextMembers = nextMembers
