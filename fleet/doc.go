// Package fleet is the replicated state machine of VMs, serving groups and customer limits. It decides which commands of operators
// and of the planner are accepted, and keeps a history of operators' changes.
package fleet
